package org.oriolewell.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Routes, services and API keys of one version of the configuration. Immutable. */
public final class RouteTable {
  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceSpec> services = new HashMap<>();
  private final Map<String, Workspace> workspacesByKey;
  private final boolean keysRequired;
  private final CallerLimits limits;

  private RouteTable(
      long version,
      List<Route> routes,
      List<ServiceSpec> services,
      @Nullable Map<String, Workspace> workspacesByKey,
      CallerLimits limits) {
    this.version = version;
    this.limits = limits;
    this.keysRequired = workspacesByKey != null;
    this.workspacesByKey = workspacesByKey == null ? Map.of() : Map.copyOf(workspacesByKey);
    routes.forEach(
        route -> routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route));
    routesByHost
        .values()
        .forEach(
            hostRoutes ->
                hostRoutes.sort(
                    Comparator.comparingInt((Route route) -> route.prefix().length()).reversed()));
    services.forEach(service -> this.services.put(service.name(), service));
  }

  /**
   * Returns a route table.
   *
   * @param version version of the configuration; increases with each change
   * @param workspacesByKey workspaces by API key; null if requests need no API key
   */
  public static RouteTable of(
      long version,
      List<Route> routes,
      List<ServiceSpec> services,
      @Nullable Map<String, Workspace> workspacesByKey,
      CallerLimits limits) {
    return new RouteTable(version, routes, services, workspacesByKey, limits);
  }

  /** Returns the version of the configuration. */
  public long version() {
    return version;
  }

  /** Returns the limits on callers' requests and connections. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns all services of the configuration. */
  public Iterable<ServiceSpec> services() {
    return services.values();
  }

  /** Returns the service with a name; empty if the configuration has no such service. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the route of a host with the longest prefix of the path.
   *
   * @param host value of the request's Host header; a port is ignored
   * @param path path of the request, without the query
   */
  public Optional<Route> match(String host, String path) {
    int colon = host.indexOf(':');
    String hostName = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    for (Route route : routesByHost.getOrDefault(hostName, List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the restrictions to regions, by what has them: the route or workspace and its name. */
  public Map<String, AllowedRegions> regionRestrictions() {
    Map<String, AllowedRegions> restrictions = new TreeMap<>();
    routesByHost.values().stream()
        .flatMap(List::stream)
        .filter(route -> route.allowedRegions().restricted())
        .forEach(route -> restrictions.put("route " + route.name(), route.allowedRegions()));
    workspacesByKey.values().stream()
        .filter(workspace -> workspace.allowedRegions().restricted())
        .forEach(
            workspace ->
                restrictions.put("workspace " + workspace.name(), workspace.allowedRegions()));
    return restrictions;
  }

  /** Returns whether a request of the route needs an API key. */
  public boolean needsKey(Route route) {
    return keysRequired && !route.anonymous();
  }

  /** Returns the workspace that an API key belongs to; empty if the key is unknown. */
  public Optional<Workspace> workspace(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }
}
