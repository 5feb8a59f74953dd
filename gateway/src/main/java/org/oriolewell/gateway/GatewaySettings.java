package org.oriolewell.gateway;

import java.time.Duration;
import java.util.List;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.SettingsSpec;

/** Definitions of the gateway's settings. */
public final class GatewaySettings {
  /** Name of the gateway, unique among the gateways. */
  public static final Setting<String> NAME =
      Setting.string("gateway.name", "gateway", "Name of this process, unique in the fleet.");

  /** Availability zone of the gateway's host. */
  public static final Setting<String> ZONE =
      Setting.string("gateway.zone", "", "Availability zone of this host.");

  /** Region of the gateway's host. */
  public static final Setting<String> REGION =
      Setting.string("gateway.region", "", "Region of this host.");

  /** All availability zones with their regions. */
  public static final Setting<List<String>> ZONE_REGIONS =
      Setting.strings("gateway.zones", List.of(), "All availability zones, as ZONE=REGION.");

  /** IP address and port on which callers' requests are accepted. */
  public static final Setting<String> CALLER_ADDRESS =
      Setting.string("callers.address", "127.0.0.1:8080", "IP:PORT for callers.");

  /** IP address and port of the readiness check and the metrics. */
  public static final Setting<String> OPERATOR_ADDRESS =
      Setting.string("operators.address", "127.0.0.1:8081", "IP:PORT for readiness and metrics.");

  /** URL path of the readiness check. */
  public static final Setting<String> READY_PATH =
      Setting.string("operators.ready_path", "/ready", "Path of the readiness check.");

  /** IP address and port on which connections of other gateways are accepted. */
  public static final Setting<String> PEER_ADDRESS =
      Setting.string("peers.address", "127.0.0.1:8090", "IP:PORT for other gateways.");

  /** IP address and port of the platform's store. */
  public static final Setting<String> STORE_ADDRESS =
      Setting.string("store.address", "127.0.0.1:8100", "IP:PORT of the platform's store.");

  /** Time after its revocation within which an API key must be refused by every gateway. */
  public static final Setting<Duration> KEY_REVOCATION_LIMIT =
      Setting.millis(
          "keys.revocation_millis",
          Duration.ofMillis(5000),
          Duration.ofMillis(500),
          Duration.ofMinutes(10),
          "Time after which a key that operators took away must be refused everywhere.");

  /** Time-out of a graceful stop, after which the process is killed. */
  public static final Setting<Duration> STOP_TIMEOUT =
      Setting.millis(
          "stop.timeout_millis",
          Duration.ofMillis(8000),
          Duration.ofMillis(100),
          Duration.ofMinutes(10),
          "Time between the order to stop and the kill.");

  /** Time after the store's recovery in which upstreams renew expired entries. */
  public static final Setting<Duration> LAPSE_GRACE =
      Setting.millis(
          "roster.lapse_grace_millis",
          Duration.ofMillis(2000),
          Duration.ZERO,
          Duration.ofMinutes(1),
          "Time after the store's return within which upstreams write lapsed entries again.");

  /** Time after the return of a restored store in which the operators write again. */
  public static final Setting<Duration> SETTLE_TIME =
      Setting.millis(
          "store.settle_millis",
          Duration.ofMillis(2000),
          Duration.ZERO,
          Duration.ofMinutes(1),
          "Time after the return of a store with an older copy within which the operators write"
              + " their configuration again.");

  /** Retries for each first attempt that the budget of all gateways allows. */
  public static final Setting<Double> RETRY_RATIO =
      Setting.number(
          "retries.ratio", 0.2, 0, 1, "Second attempts of the fleet for each first attempt.");

  /** Retries in a window that the budget of all gateways allows regardless of load. */
  public static final Setting<Double> RETRY_SLACK =
      Setting.number(
          "retries.slack",
          50,
          0,
          100_000,
          "Second attempts of the fleet in a window, in any case.");

  /** Window over which the retry budget counts attempts, in seconds. */
  public static final Setting<Integer> RETRY_WINDOW =
      Setting.integer("retries.window_seconds", 10, 1, 3600, "Window of the retry budget.");

  /** Largest body of an upstream's answer that is no stream, and largest event of a stream. */
  public static final Setting<Integer> MAX_ANSWER_BYTES =
      Setting.integer(
          "upstreams.max_answer_bytes",
          256 << 10,
          1 << 10,
          64 << 20,
          "Largest answer, or event of a stream, of an upstream, in bytes.");

  /** Largest sum of the answers in progress. */
  public static final Setting<Integer> MAX_BUFFERED_BYTES =
      Setting.integer(
          "upstreams.max_buffered_bytes",
          16 << 20,
          1 << 20,
          1 << 30,
          "Largest sum of what is kept of all answers in progress and of output that callers have"
              + " not read, in bytes.");

  /** Whether placement uses what is learned about the speed and the load of upstreams. */
  public static final Setting<Boolean> LEARN_CAPACITY =
      Setting.flag(
          "placement.learn_capacity",
          true,
          "Whether upstreams get requests by their learned speed and load.");

  /** Largest sum of what callers' connections hold of their requests. */
  public static final Setting<Integer> MAX_INPUT_BYTES =
      Setting.integer(
          "callers.max_input_bytes",
          0,
          0,
          1 << 30,
          "Most memory for connections and requests of callers, in bytes; 0 for 30% of the heap.");

  /** Largest number of callers' connections. */
  public static final Setting<Integer> MAX_CONNECTIONS =
      Setting.integer(
          "callers.max_connections",
          0,
          0,
          1_000_000,
          "Most connections of callers; 0 for less than half of the free descriptors.");

  /** Least mean rate at which the body of a request must arrive. */
  public static final Setting<Integer> MIN_BODY_RATE =
      Setting.integer(
          "callers.min_body_bytes_per_second",
          4 << 10,
          0,
          1 << 30,
          "Least mean rate of a request's body after the grace, in bytes a second; 0 for none.");

  /** Time in which the body of a request may arrive at any rate. */
  public static final Setting<Duration> BODY_GRACE =
      Setting.millis(
          "callers.body_grace_millis",
          Duration.ofSeconds(10),
          Duration.ZERO,
          Duration.ofMinutes(10),
          "Time in which a request's body may arrive at any rate.");

  /** Largest number of stage results that a request may ask for. */
  public static final Setting<Integer> MAX_PIECES =
      Setting.integer(
          "callers.max_pieces",
          1000,
          1,
          100_000,
          "Most pieces of all stages of a request together.");

  /** The settings in the order in which they are listed to operators. */
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
              SETTLE_TIME,
              RETRY_RATIO,
              RETRY_SLACK,
              RETRY_WINDOW,
              MAX_ANSWER_BYTES,
              MAX_BUFFERED_BYTES,
              LEARN_CAPACITY,
              MAX_INPUT_BYTES,
              MAX_CONNECTIONS,
              MIN_BODY_RATE,
              BODY_GRACE,
              MAX_PIECES));

  private GatewaySettings() {}
}
