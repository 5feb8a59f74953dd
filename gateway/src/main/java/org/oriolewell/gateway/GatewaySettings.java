package org.oriolewell.gateway;

import java.time.Duration;
import java.util.List;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.SettingsSpec;

/** Settings of the gateway. */
public final class GatewaySettings {
  /** Name of the process. */
  public static final Setting<String> NAME =
      Setting.string("gateway.name", "gateway", "Name of this process, unique in the fleet.");

  /** Availability zone of the host. */
  public static final Setting<String> ZONE =
      Setting.string("gateway.zone", "", "Availability zone of this host.");

  /** Region of the host. */
  public static final Setting<String> REGION =
      Setting.string("gateway.region", "", "Region of this host.");

  /** Regions of all availability zones. */
  public static final Setting<List<String>> ZONE_REGIONS =
      Setting.strings("gateway.zones", List.of(), "All availability zones, as ZONE=REGION.");

  /** Callers' address. */
  public static final Setting<String> CALLER_ADDRESS =
      Setting.string("callers.address", "127.0.0.1:8080", "IP:PORT for callers.");

  /** Operators' address. */
  public static final Setting<String> OPERATOR_ADDRESS =
      Setting.string("operators.address", "127.0.0.1:8081", "IP:PORT for readiness and metrics.");

  /** Path of the readiness check. */
  public static final Setting<String> READY_PATH =
      Setting.string("operators.ready_path", "/ready", "Path of the readiness check.");

  /** Address of the peer protocol. */
  public static final Setting<String> PEER_ADDRESS =
      Setting.string("peers.address", "127.0.0.1:8090", "IP:PORT for other gateways.");

  /** Address of the store. */
  public static final Setting<String> STORE_ADDRESS =
      Setting.string("store.address", "127.0.0.1:8100", "IP:PORT of the platform's store.");

  /** Bound on the time after which a removed key is refused. */
  public static final Setting<Duration> KEY_REVOCATION_LIMIT =
      Setting.millis(
          "keys.revocation_millis",
          Duration.ofMillis(5000),
          Duration.ofMillis(500),
          Duration.ofMinutes(10),
          "Time after which a key that operators took away must be refused everywhere.");

  /** Time for a planned stop. */
  public static final Setting<Duration> STOP_TIMEOUT =
      Setting.millis(
          "stop.timeout_millis",
          Duration.ofMillis(8000),
          Duration.ofMillis(100),
          Duration.ofMinutes(10),
          "Time between the order to stop and the kill.");

  /** Time after the store's return within which lapsed entries come back. */
  public static final Setting<Duration> LAPSE_GRACE =
      Setting.millis(
          "roster.lapse_grace_millis",
          Duration.ofMillis(2000),
          Duration.ZERO,
          Duration.ofMinutes(1),
          "Time after the store's return within which upstreams write lapsed entries again.");

  /** Ratio of the fleet's retry budget. */
  public static final Setting<Double> RETRY_RATIO =
      Setting.number(
          "retries.ratio", 0.2, 0, 1, "Second attempts of the fleet for each first attempt.");

  /** Constant part of the fleet's retry budget. */
  public static final Setting<Double> RETRY_SLACK =
      Setting.number(
          "retries.slack",
          50,
          0,
          100_000,
          "Second attempts of the fleet in a window, in any case.");

  /** Window of the fleet's retry budget. */
  public static final Setting<Integer> RETRY_WINDOW =
      Setting.integer("retries.window_seconds", 10, 1, 3600, "Window of the retry budget.");

  /** All settings. */
  public static final SettingsSpec SPEC =
      SettingsSpec.of(
          "oriolewell-gateway",
          List.of(
              NAME,
              ZONE,
              REGION,
              ZONE_REGIONS,
              CALLER_ADDRESS,
              OPERATOR_ADDRESS,
              READY_PATH,
              PEER_ADDRESS,
              STORE_ADDRESS,
              KEY_REVOCATION_LIMIT,
              STOP_TIMEOUT,
              LAPSE_GRACE,
              RETRY_RATIO,
              RETRY_SLACK,
              RETRY_WINDOW));

  private GatewaySettings() {}
}
