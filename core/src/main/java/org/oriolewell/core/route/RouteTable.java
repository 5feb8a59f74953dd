package org.oriolewell.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** One version of the configuration, indexed for lookups. Immutable. */
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
        route -> routesByHost.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route));
    routesByHost
        .values()
        .forEach(
            list ->
                list.sort(Comparator.comparingInt((Route r) -> r.prefix().length()).reversed()));
    services.forEach(service -> this.services.put(service.name(), service));
  }

  /**
   * Returns a table.
   *
   * @param version version of the configuration, increasing with each change
   * @param workspacesByKey API keys; null if requests need none
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

  /** Returns the bounds on what a caller may send. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the services. */
  public Iterable<ServiceSpec> services() {
    return services.values();
  }

  /** Returns the service of a name, if the configuration has it. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the route with the longest prefix that begins the path.
   *
   * @param host value of the Host header; a port is ignored
   * @param path path without the query
   */
  public Optional<Route> match(String host, String path) {
    int colon = host.indexOf(':');
    String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    for (Route route : routesByHost.getOrDefault(name, List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns whether a request of the route needs an API key. */
  public boolean needsKey(Route route) {
    return keysRequired && !route.anonymous();
  }

  /** Returns the workspace that holds an API key. */
  public Optional<Workspace> workspace(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }
}
