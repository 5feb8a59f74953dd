package org.oriolewell.agent;

import java.time.Duration;
import java.util.List;
import org.oriolewell.core.call.ShardSettings;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.settings.SettingsSpec;
import org.oriolewell.runtime.tls.Tls;
import org.oriolewell.runtime.wire.WireConnection;

/** Settings of the agent. {@code oriolewell-agent --print-defaults} prints them. */
public final class AgentSettings {
  /** Name of the host that the agent and its upstream run on. */
  public static final Setting<String> HOST =
      Setting.string("host", "localhost", "Name of this host, as in the host list.");

  /** Firm that owns the host. */
  public static final Setting<String> FIRM =
      Setting.string("firm", "", "Firm that owns this host.");

  /** Pool of the upstream. */
  public static final Setting<String> POOL =
      Setting.string("pool", "default", "Pool that the upstream belongs to.");

  /** Availability zone of the host. */
  public static final Setting<String> ZONE =
      Setting.string("zone", "", "Availability zone of this host.");

  /** Region of the host. */
  public static final Setting<String> REGION = Setting.string("region", "", "Region of this host.");

  /** Address of the wire port. */
  public static final Setting<String> WIRE_ADDRESS =
      Setting.string(
          "wire.address", "127.0.0.1", "IP address for entries and agents to connect to.");

  /** Port for entries and agents. */
  public static final Setting<Integer> WIRE_PORT =
      Setting.integer(
          "wire.port", 7300, 0, 65535, "TCP port for entries and agents; 0 picks a free one.");

  /** Largest frame on the wire. */
  public static final Setting<Integer> FRAME_BYTES =
      Setting.integer(
          "wire.max_frame_bytes",
          WireConnection.DEFAULT_MAX_FRAME_BYTES,
          4 << 10,
          64 << 20,
          "Largest frame that is accepted or sent, in bytes.");

  /** Interval of the agent's own heartbeats. */
  public static final Setting<Duration> HEARTBEAT =
      Setting.millis(
          "wire.heartbeat_millis",
          Duration.ofMillis(250),
          Duration.ofMillis(10),
          Duration.ofMinutes(1),
          "Time without a message after which a dialer with calls in flight is pinged.");

  /** Time after which a silent dialer is disconnected. */
  public static final Setting<Duration> DIALER_TIMEOUT =
      Setting.millis(
          "wire.dialer_timeout_millis",
          Duration.ofSeconds(2),
          Duration.ofMillis(50),
          Duration.ofMinutes(10),
          "Time without a message after which a dialer with calls in flight is disconnected.");

  /** Address of the operators' port. */
  public static final Setting<String> OPERATORS_ADDRESS =
      Setting.string("operators.address", "127.0.0.1", "IP address of the operators' port.");

  /** Operators' port. */
  public static final Setting<Integer> OPERATORS_PORT =
      Setting.integer(
          "operators.port", 7301, 0, 65535, "TCP port for operators; 0 picks a free one.");

  /** Kind of the upstream. */
  public static final Setting<String> UPSTREAM_KIND =
      Setting.choice(
          "upstream.kind", "stage", List.of("engine", "stage", "service"), "Kind of the upstream.");

  /** Address of the upstream. */
  public static final Setting<String> UPSTREAM_URL =
      Setting.string("upstream.url", "http://127.0.0.1:7400", "Base URL of the upstream.");

  /** Longest time that the upstream may take for a call. */
  public static final Setting<Duration> UPSTREAM_TIMEOUT =
      Setting.millis(
          "upstream.timeout_millis",
          Duration.ofSeconds(30),
          Duration.ofMillis(10),
          Duration.ofMinutes(30),
          "Longest time for one call at the upstream, also when its dialer has gone.");

  /** Longest time to connect to the upstream. */
  public static final Setting<Duration> UPSTREAM_CONNECT_TIMEOUT =
      Setting.millis(
          "upstream.connect_timeout_millis",
          Duration.ofSeconds(1),
          Duration.ofMillis(10),
          Duration.ofMinutes(1),
          "Longest time to connect to the upstream.");

  /** Tokens of an answer when the configuration names no number. */
  public static final Setting<Integer> DEFAULT_MAX_TOKENS =
      Setting.integer(
          "upstream.default_max_tokens",
          512,
          1,
          1 << 20,
          "Most tokens of an answer when neither configuration nor input sets it.");

  /** Address of the key-value service. */
  public static final Setting<String> STORE_URL =
      Setting.string("store.url", "http://127.0.0.1:7100", "Base URL of the key-value service.");

  /** Time after which a call to the key-value service counts as unanswered. */
  public static final Setting<Duration> STORE_TIMEOUT =
      Setting.millis(
          "store.timeout_millis",
          Duration.ofMillis(500),
          Duration.ofMillis(10),
          Duration.ofMinutes(1),
          "Time after which a call to the key-value service counts as unanswered.");

  /** Calls that may wait. */
  public static final Setting<Integer> QUEUE_SIZE =
      Setting.integer("admission.queue_size", 512, 0, 1 << 20, "Calls that may wait.");

  /** Calls that may be at the upstream at once, at the start. */
  public static final Setting<Integer> LIMIT =
      Setting.integer(
          "admission.limit", 64, 1, 1 << 16, "Calls at the upstream at once, at the start.");

  /** Lowest value of the adaptive limit. */
  public static final Setting<Integer> MIN_LIMIT =
      Setting.integer(
          "admission.min_limit", 4, 1, 1 << 16, "Lowest limit that adapting to latency sets.");

  /** Highest value of the adaptive limit. */
  public static final Setting<Integer> MAX_LIMIT =
      Setting.integer(
          "admission.max_limit", 1024, 1, 1 << 16, "Highest limit that adapting to latency sets.");

  /** Longest planned stop. */
  public static final Setting<Duration> STOP_MAX =
      Setting.millis(
          "stop.max_millis",
          Duration.ofSeconds(30),
          Duration.ofMillis(10),
          Duration.ofMinutes(30),
          "Longest time that a planned stop waits for calls in flight.");

  /** Longest wait for the release of shards. */
  public static final Setting<Duration> RELEASE_MAX =
      Setting.millis(
          "stop.release_max_millis",
          Duration.ofSeconds(2),
          Duration.ofMillis(10),
          Duration.ofMinutes(1),
          "Longest time that a planned stop waits for the store to take back shards.");

  /** Age from which a key is refused. */
  public static final Setting<Duration> KEY_LIFETIME =
      Setting.millis(
          "calls.key_lifetime_millis",
          ShardSettings.defaults().keyLifetime(),
          Duration.ofSeconds(1),
          Duration.ofDays(1),
          "Age from which an idempotency key is refused; the same at all agents of a pool.");

  /** How far an execution window reaches into the past. */
  public static final Setting<Duration> WINDOW_LAG =
      Setting.millis(
          "calls.window_lag_millis",
          ShardSettings.defaults().windowLag(),
          Duration.ofMillis(100),
          Duration.ofMinutes(10),
          "How far an execution window reaches into the past.");

  /** How far an execution window reaches into the future. */
  public static final Setting<Duration> WINDOW_LEAD =
      Setting.millis(
          "calls.window_lead_millis",
          ShardSettings.defaults().windowLead(),
          Duration.ofMillis(100),
          Duration.ofMinutes(1),
          "How far an execution window reaches into the future.");

  /** Time between two writes of a shard's record. */
  public static final Setting<Duration> WRITE_INTERVAL =
      Setting.millis(
          "calls.write_interval_millis",
          ShardSettings.defaults().writeInterval(),
          Duration.ofMillis(50),
          Duration.ofMinutes(1),
          "Time between two writes of a shard's record while calls arrive.");

  /** Time after which a shard's silent owner counts as gone. */
  public static final Setting<Duration> PROBE_TIMEOUT =
      Setting.millis(
          "calls.probe_timeout_millis",
          Duration.ofMillis(500),
          Duration.ofMillis(10),
          Duration.ofSeconds(30),
          "Time after which a shard's owner that does not answer a probe counts as gone.");

  /** All settings, in the order they are printed. */
  public static final SettingsSpec SPEC =
      SettingsSpec.of(
          "oriolewell-agent",
          List.of(
              HOST,
              FIRM,
              POOL,
              ZONE,
              REGION,
              WIRE_ADDRESS,
              WIRE_PORT,
              FRAME_BYTES,
              HEARTBEAT,
              DIALER_TIMEOUT,
              OPERATORS_ADDRESS,
              OPERATORS_PORT,
              UPSTREAM_KIND,
              UPSTREAM_URL,
              UPSTREAM_TIMEOUT,
              UPSTREAM_CONNECT_TIMEOUT,
              DEFAULT_MAX_TOKENS,
              STORE_URL,
              STORE_TIMEOUT,
              QUEUE_SIZE,
              LIMIT,
              MIN_LIMIT,
              MAX_LIMIT,
              STOP_MAX,
              RELEASE_MAX,
              KEY_LIFETIME,
              WINDOW_LAG,
              WINDOW_LEAD,
              WRITE_INTERVAL,
              PROBE_TIMEOUT,
              Tls.CERTIFICATE,
              Tls.KEY,
              Tls.AUTHORITIES));

  private AgentSettings() {}

  /** Returns the settings of shards. */
  static ShardSettings shardSettings(Settings settings) {
    ShardSettings defaults = ShardSettings.defaults();
    return new ShardSettings(
        settings.value(KEY_LIFETIME),
        settings.value(WINDOW_LAG),
        settings.value(WINDOW_LEAD),
        settings.value(WRITE_INTERVAL),
        defaults.maxClockSkew(),
        defaults.segmentMinCalls(),
        defaults.maxStoredOutputBytes());
  }
}
