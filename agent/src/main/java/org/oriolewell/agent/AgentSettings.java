package org.oriolewell.agent;

import java.time.Duration;
import java.util.List;
import org.oriolewell.core.call.ShardSettings;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.settings.SettingsSpec;
import org.oriolewell.runtime.tls.Tls;
import org.oriolewell.runtime.wire.WireConnection;

/** Settings of the agent, as {@code oriolewell-agent --print-defaults} prints them. */
public final class AgentSettings {
  /** Name of the host that the agent and its upstream run on. */
  public static final Setting<String> HOST =
      Setting.string("host", "localhost", "Name of this host, as in the host list.");

  /** Firm that owns the host that the agent runs on. */
  public static final Setting<String> FIRM =
      Setting.string("firm", "", "Firm that owns this host.");

  /** Name of the pool that the upstream belongs to. */
  public static final Setting<String> POOL =
      Setting.string("pool", "default", "Pool that the upstream belongs to.");

  /** Availability zone of the host that the agent runs on. */
  public static final Setting<String> ZONE =
      Setting.string("zone", "", "Availability zone of this host.");

  /** Region of the host that the agent runs on. */
  public static final Setting<String> REGION = Setting.string("region", "", "Region of this host.");

  /** IP address that the wire port is bound to. */
  public static final Setting<String> WIRE_ADDRESS =
      Setting.string(
          "wire.address", "127.0.0.1", "IP address for entries and agents to connect to.");

  /** TCP port that entries and other agents connect to. */
  public static final Setting<Integer> WIRE_PORT =
      Setting.integer(
          "wire.port", 7300, 0, 65535, "TCP port for entries and agents; 0 picks a free one.");

  /** Largest frame that is accepted or sent on the wire port, in bytes. */
  public static final Setting<Integer> MAX_FRAME_BYTES =
      Setting.integer(
          "wire.max_frame_bytes",
          WireConnection.DEFAULT_MAX_FRAME_BYTES,
          4 << 10,
          64 << 20,
          "Largest frame that is accepted or sent, in bytes.");

  /** Time without a message after which a dialer with calls in flight is pinged. */
  public static final Setting<Duration> HEARTBEAT_INTERVAL =
      Setting.millis(
          "wire.heartbeat_millis",
          Duration.ofMillis(250),
          Duration.ofMillis(10),
          Duration.ofMinutes(1),
          "Time without a message after which a dialer with calls in flight is pinged.");

  /** Time without a message after which a dialer with calls in flight is disconnected. */
  public static final Setting<Duration> DIALER_TIMEOUT =
      Setting.millis(
          "wire.dialer_timeout_millis",
          Duration.ofSeconds(2),
          Duration.ofMillis(50),
          Duration.ofMinutes(10),
          "Time without a message after which a dialer with calls in flight is disconnected.");

  /** IP address that the operators' port is bound to. */
  public static final Setting<String> OPERATORS_ADDRESS =
      Setting.string("operators.address", "127.0.0.1", "IP address of the operators' port.");

  /** TCP port that serves readiness, status and metrics to operators. */
  public static final Setting<Integer> OPERATORS_PORT =
      Setting.integer(
          "operators.port", 7301, 0, 65535, "TCP port for operators; 0 picks a free one.");

  /** Kind of the upstream: a model engine, a stage pool or a plain service. */
  public static final Setting<String> UPSTREAM_KIND =
      Setting.choice(
          "upstream.kind", "stage", List.of("engine", "stage", "service"), "Kind of the upstream.");

  /** Base URL of the upstream. */
  public static final Setting<String> UPSTREAM_URL =
      Setting.string("upstream.url", "http://127.0.0.1:7400", "Base URL of the upstream.");

  /** Longest time for one call at the upstream, even if its dialer has disconnected. */
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

  /** Largest number of tokens of an answer if neither configuration nor input sets it. */
  public static final Setting<Integer> DEFAULT_MAX_TOKENS =
      Setting.integer(
          "upstream.default_max_tokens",
          512,
          1,
          1 << 20,
          "Most tokens of an answer when neither configuration nor input sets it.");

  /** Base URL of the key-value service. */
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

  /** Largest number of calls that wait for admission. */
  public static final Setting<Integer> MAX_QUEUED_CALLS =
      Setting.integer("admission.queue_size", 512, 0, 1 << 20, "Calls that may wait.");

  /** Limit of concurrent calls at the upstream when the agent starts. */
  public static final Setting<Integer> INITIAL_CONCURRENCY =
      Setting.integer(
          "admission.limit", 64, 1, 1 << 16, "Calls at the upstream at once, at the start.");

  /** Smallest limit of concurrent calls that adapting to latency sets. */
  public static final Setting<Integer> MIN_CONCURRENCY =
      Setting.integer(
          "admission.min_limit", 4, 1, 1 << 16, "Lowest limit that adapting to latency sets.");

  /** Largest limit of concurrent calls that adapting to latency sets. */
  public static final Setting<Integer> MAX_CONCURRENCY =
      Setting.integer(
          "admission.max_limit", 1024, 1, 1 << 16, "Highest limit that adapting to latency sets.");

  /** Longest time that a planned stop waits for calls in flight. */
  public static final Setting<Duration> STOP_TIMEOUT =
      Setting.millis(
          "stop.max_millis",
          Duration.ofSeconds(30),
          Duration.ofMillis(10),
          Duration.ofMinutes(30),
          "Longest time that a planned stop waits for calls in flight.");

  /** Longest time that a planned stop waits for the store to acknowledge released shards. */
  public static final Setting<Duration> SHARD_RELEASE_TIMEOUT =
      Setting.millis(
          "stop.release_max_millis",
          Duration.ofSeconds(2),
          Duration.ofMillis(10),
          Duration.ofMinutes(1),
          "Longest time that a planned stop waits for the store to take back shards.");

  /** Age from which an idempotency key is refused; the same at all agents of a pool. */
  public static final Setting<Duration> KEY_LIFETIME =
      Setting.millis(
          "calls.key_lifetime_millis",
          ShardSettings.defaults().keyLifetime(),
          Duration.ofSeconds(1),
          Duration.ofDays(1),
          "Age from which an idempotency key is refused; the same at all agents of a pool.");

  /** Time by which the execution window of a shard's keys extends into the past. */
  public static final Setting<Duration> WINDOW_LAG =
      Setting.millis(
          "calls.window_lag_millis",
          ShardSettings.defaults().windowLag(),
          Duration.ofMillis(100),
          Duration.ofMinutes(10),
          "How far an execution window reaches into the past.");

  /** Time by which the execution window of a shard's keys extends into the future. */
  public static final Setting<Duration> WINDOW_LEAD =
      Setting.millis(
          "calls.window_lead_millis",
          ShardSettings.defaults().windowLead(),
          Duration.ofMillis(100),
          Duration.ofMinutes(1),
          "How far an execution window reaches into the future.");

  /** Time between two writes of a shard's record while calls arrive. */
  public static final Setting<Duration> SHARD_WRITE_INTERVAL =
      Setting.millis(
          "calls.write_interval_millis",
          ShardSettings.defaults().writeInterval(),
          Duration.ofMillis(50),
          Duration.ofMinutes(1),
          "Time between two writes of a shard's record while calls arrive.");

  /** Time after which a shard's owner that doesn't answer a probe counts as gone. */
  public static final Setting<Duration> OWNER_PROBE_TIMEOUT =
      Setting.millis(
          "calls.probe_timeout_millis",
          Duration.ofMillis(500),
          Duration.ofMillis(10),
          Duration.ofSeconds(30),
          "Time after which a shard's owner that does not answer a probe counts as gone.");

  /** Specification of all settings, in the order in which they are printed. */
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
              MAX_FRAME_BYTES,
              HEARTBEAT_INTERVAL,
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
              MAX_QUEUED_CALLS,
              INITIAL_CONCURRENCY,
              MIN_CONCURRENCY,
              MAX_CONCURRENCY,
              STOP_TIMEOUT,
              SHARD_RELEASE_TIMEOUT,
              KEY_LIFETIME,
              WINDOW_LAG,
              WINDOW_LEAD,
              SHARD_WRITE_INTERVAL,
              OWNER_PROBE_TIMEOUT,
              Tls.CERTIFICATE,
              Tls.KEY,
              Tls.AUTHORITIES));

  private AgentSettings() {}

  /** Returns the settings of shard owners. */
  static ShardSettings shardSettings(Settings settings) {
    ShardSettings defaults = ShardSettings.defaults();
    return new ShardSettings(
        settings.value(KEY_LIFETIME),
        settings.value(WINDOW_LAG),
        settings.value(WINDOW_LEAD),
        settings.value(SHARD_WRITE_INTERVAL),
        defaults.maxClockSkew(),
        defaults.segmentMinCalls(),
        defaults.maxStoredOutputBytes());
  }
}
