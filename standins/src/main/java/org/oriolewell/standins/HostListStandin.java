package org.oriolewell.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.settings.SettingsSpec;

/** The platform's list of hosts, which shows each change after a lag. */
public final class HostListStandin extends BaseStandin {
  private static final Setting<Duration> LAG =
      CommonSettings.time("lag_ms", 0, "Time until callers see a change.");
  private static final Setting<List<String>> HOSTS =
      Setting.strings(
          "hosts",
          List.of(),
          "Hosts at the start, each as 'host address port kind pool zone region firm state', with -"
              + " for an empty part.");

  /** Settings of this kind. */
  public static final SettingsSpec SPEC = CommonSettings.spec("hostlist", LAG, HOSTS);

  private static final List<String> MEMBERS =
      List.of("host", "address", "port", "kind", "pool", "zone", "region", "firm", "state");

  private final Duration lag;
  private final Map<String, Map<String, Object>> current = new LinkedHashMap<>();
  private volatile List<Map<String, Object>> shown;

  private HostListStandin(Settings settings, InstantSource clock) {
    super("hostlist", settings, clock);
    lag = settings.value(LAG);
    settings.value(HOSTS).forEach(line -> put(fromLine(line)));
    shown = List.copyOf(current.values());
    server
        .guarded(
            "GET",
            "/v1/hosts",
            call -> "get hosts",
            (call, drop) ->
                CompletableFuture.completedFuture(HttpReply.json(200, Map.of("hosts", shown))))
        .control("PUT", "/v1/hosts", this::replaceAll)
        .control("PUT", "/v1/hosts/{host}", this::replaceOne)
        .control("DELETE", "/v1/hosts/{host}", this::remove)
        .start(() -> Map.of("hosts", shown.size(), "lag_ms", lag.toMillis()));
  }

  /** Starts a host list. */
  public static HostListStandin start(Settings settings, InstantSource clock) {
    return new HostListStandin(settings, clock);
  }

  /** Starts a host list with the system's clock and settings in TOML, for tests. */
  public static HostListStandin start(String toml) {
    return start(CommonSettings.parse(SPEC, toml), InstantSource.system());
  }

  private static Map<String, Object> fromLine(String line) {
    String[] parts = line.trim().split("\\s+");
    if (parts.length != MEMBERS.size()) {
      throw new IllegalArgumentException(
          "host '" + line + "' has " + parts.length + " parts; write " + String.join(" ", MEMBERS));
    }
    Map<String, Object> host = new LinkedHashMap<>();
    for (int i = 0; i < parts.length; i++) {
      String part = parts[i].equals("-") ? "" : parts[i];
      host.put(MEMBERS.get(i), i == 2 ? (Object) Integer.valueOf(part) : part);
    }
    return host;
  }

  private static Map<String, Object> fromJson(JsonNode node) {
    Map<String, Object> host = new LinkedHashMap<>();
    for (String member : MEMBERS) {
      JsonNode value = node.path(member);
      host.put(
          member,
          switch (member) {
            case "port" -> value.asInt();
            case "state" -> value.asText("live");
            default -> value.asText("");
          });
    }
    return host;
  }

  private void put(Map<String, Object> host) {
    current.put(String.valueOf(host.get("host")), host);
  }

  private HttpReply replaceAll(HttpCall call) {
    JsonNode body = StandinServer.body(call);
    synchronized (current) {
      current.clear();
      body.path("hosts").forEach(node -> put(fromJson(node)));
      return changed();
    }
  }

  private HttpReply replaceOne(HttpCall call) {
    Map<String, Object> host = fromJson(StandinServer.body(call));
    host.put("host", call.path("host"));
    synchronized (current) {
      put(host);
      return changed();
    }
  }

  private HttpReply remove(HttpCall call) {
    synchronized (current) {
      current.remove(call.path("host"));
      return changed();
    }
  }

  private HttpReply changed() {
    List<Map<String, Object>> next = new ArrayList<>(current.values());
    server.log.event(StandinEvent.HOSTS_CHANGED).with("hosts", next.size()).write();
    server.timer.after(lag).thenRun(() -> shown = next);
    return HttpReply.json(200, Map.of("hosts", next));
  }
}
