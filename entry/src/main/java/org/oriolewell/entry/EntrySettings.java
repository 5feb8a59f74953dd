package org.oriolewell.entry;

import java.time.Duration;
import java.util.List;
import org.oriolewell.runtime.admin.AdminToken;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.SettingsSpec;
import org.oriolewell.runtime.tls.Tls;

/** Settings of the entry process, each with its key, default and range. */
final class EntrySettings {
  static final Setting<String> NAME =
      Setting.string("entry.name", "entry", "Name of this process, unique in the fleet.");
  static final Setting<String> ZONE =
      Setting.string("entry.zone", "", "Availability zone of this host.");
  static final Setting<String> REGION = Setting.string("entry.region", "", "Region of this host.");
  static final Setting<String> CALLERS_ADDRESS =
      Setting.string("callers.address", "127.0.0.1", "Address of the callers' API.");
  static final Setting<Integer> CALLERS_PORT =
      Setting.integer("callers.port", 8080, 0, 65535, "TCP port of the callers' API.");
  static final Setting<Integer> MAX_BODY_BYTES =
      Setting.integer(
          "callers.body_limit_bytes", 1 << 20, 1024, 16 << 20, "Largest accepted body, in bytes.");
  static final Setting<Integer> MAX_REQUESTS =
      Setting.integer(
          "callers.max_requests", 20_000, 1, 1_000_000, "Most requests in flight at one time.");
  static final Setting<Duration> MAX_DEADLINE =
      millis("callers.max_deadline_millis", 60_000, 1, 3_600_000, "Longest accepted deadline.");
  static final Setting<String> OPERATORS_ADDRESS =
      Setting.string("operators.address", "127.0.0.1", "Address of the operators' port.");
  static final Setting<Integer> OPERATORS_PORT =
      Setting.integer("operators.port", 8081, 0, 65535, "TCP port for operators.");
  static final Setting<String> STORE_URL =
      Setting.string("store.url", "", "URL of the key-value service; empty for none.");
  static final Setting<Duration> STORE_TIMEOUT =
      millis("store.timeout_millis", 1000, 10, 60_000, "Time after which a store call has failed.");
  static final Setting<String> HOST_LIST_URL =
      Setting.string("hosts.url", "", "URL of the host list; empty for none.");
  static final Setting<Duration> HOST_LIST_POLL_INTERVAL =
      millis("hosts.poll_millis", 1000, 50, 60_000, "Time between reads of the host list.");
  static final Setting<Duration> HOST_LIST_TIMEOUT =
      millis(
          "hosts.timeout_millis",
          1000,
          10,
          60_000,
          "Time after which a host list call has failed.");
  static final Setting<List<String>> STATIC_AGENTS =
      Setting.strings(
          "agents.static", List.of(), "Agents as NAME@IP:PORT or IP:PORT, besides the host list.");
  static final Setting<Duration> PING_INTERVAL =
      millis(
          "agents.ping_millis",
          250,
          10,
          10_000,
          "Silence after which an agent with calls in flight is sent a heartbeat.");
  static final Setting<Duration> IDLE_PING_INTERVAL =
      millis(
          "agents.idle_ping_millis",
          2000,
          10,
          60_000,
          "Silence after which an agent without calls in flight is sent a heartbeat.");
  static final Setting<Duration> DEAD_TIMEOUT =
      millis(
          "agents.dead_millis", 750, 30, 60_000, "Time without PONG after which an agent is dead.");
  static final Setting<Duration> CONNECT_TIMEOUT =
      millis(
          "agents.connect_timeout_millis", 500, 10, 60_000, "Longest time to open a connection.");
  static final Setting<Duration> MAX_FIRST_REDIAL_DELAY =
      millis("agents.first_redial_millis", 200, 1, 60_000, "Longest wait before the first redial.");
  static final Setting<Integer> MAX_FRAME_BYTES =
      Setting.integer(
          "agents.frame_limit_bytes", 1 << 20, 1024, 64 << 20, "Largest frame, in bytes.");
  static final Setting<Duration> MAX_FIRST_BACKOFF =
      millis(
          "retries.first_backoff_millis", 10, 1, 10_000, "Longest delay before the first retry.");
  static final Setting<Duration> MAX_BACKOFF =
      millis("retries.max_backoff_millis", 200, 1, 60_000, "Longest delay before any retry.");
  static final Setting<Duration> NO_UPSTREAM_WAIT =
      millis(
          "retries.no_upstream_wait_millis",
          300,
          0,
          60_000,
          "How long a stage waits for an upstream.");
  static final Setting<Double> RETRY_RATIO =
      Setting.number("retries.ratio", 0.1, 0, 1, "Second attempts for each first attempt.");
  static final Setting<Double> RETRIES_PER_SECOND =
      Setting.number(
          "retries.per_second", 2, 0, 10_000, "Second attempts per second allowed in any case.");
  static final Setting<Integer> RETRY_BURST =
      Setting.integer(
          "retries.burst",
          50,
          0,
          1_000_000,
          "Most second attempts that the process may save; a pipeline may save two fifths.");
  static final Setting<Integer> STREAM_CREDITS =
      Setting.integer(
          "streams.credits", 64, 1, 10_000, "Frames that an agent may send ahead of the caller.");
  static final Setting<Duration> STREAM_GRACE =
      millis(
          "streams.grace_millis",
          1000,
          0,
          60_000,
          "Time in which a caller that lost its stream may resume before the work is canceled.");
  static final Setting<Duration> STREAM_RETENTION =
      millis(
          "streams.keep_millis", 10_000, 0, 600_000, "How long a finished stream can be resumed.");
  static final Setting<Integer> MAX_RETAINED_STREAM_TOKENS =
      Setting.integer(
          "streams.kept_tokens", 500_000, 0, 100_000_000, "Most tokens kept of finished streams.");
  static final Setting<Duration> SETTLE_TIMEOUT =
      millis("callers.settle_timeout_millis", 5000, 1, 60_000, "Longest time to settle a key.");
  static final Setting<Duration> STOP_TIMEOUT =
      millis("stop.timeout_millis", 60_000, 0, 600_000, "Longest time for a planned stop.");
  static final Setting<Double> ROUTING_LOG_SHARE =
      Setting.number("log.routing_sampling", 1.0, 0, 1, "Part of the routing decisions logged.");

  static final SettingsSpec SPEC =
      SettingsSpec.of(
          "oriolewell-entry",
          List.of(
              NAME,
              ZONE,
              REGION,
              CALLERS_ADDRESS,
              CALLERS_PORT,
              MAX_BODY_BYTES,
              MAX_REQUESTS,
              MAX_DEADLINE,
              SETTLE_TIMEOUT,
              OPERATORS_ADDRESS,
              OPERATORS_PORT,
              STORE_URL,
              STORE_TIMEOUT,
              HOST_LIST_URL,
              HOST_LIST_POLL_INTERVAL,
              HOST_LIST_TIMEOUT,
              STATIC_AGENTS,
              PING_INTERVAL,
              IDLE_PING_INTERVAL,
              DEAD_TIMEOUT,
              CONNECT_TIMEOUT,
              MAX_FIRST_REDIAL_DELAY,
              MAX_FRAME_BYTES,
              MAX_FIRST_BACKOFF,
              MAX_BACKOFF,
              NO_UPSTREAM_WAIT,
              RETRY_RATIO,
              RETRIES_PER_SECOND,
              RETRY_BURST,
              STREAM_CREDITS,
              STREAM_GRACE,
              STREAM_RETENTION,
              MAX_RETAINED_STREAM_TOKENS,
              STOP_TIMEOUT,
              ROUTING_LOG_SHARE,
              AdminToken.SETTING,
              Tls.CERTIFICATE,
              Tls.KEY,
              Tls.AUTHORITIES));

  private EntrySettings() {}

  private static Setting<Duration> millis(
      String key, long defaultMillis, long minMillis, long maxMillis, String description) {
    return Setting.millis(
        key,
        Duration.ofMillis(defaultMillis),
        Duration.ofMillis(minMillis),
        Duration.ofMillis(maxMillis),
        description);
  }
}
