package org.oriolewell.standins;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.settings.SettingsSpec;

/**
 * A key-value store with compare-and-swap, watches and leases, limited in reads and writes a
 * second. It keeps its values in memory.
 */
public final class StoreStandin extends BaseStandin {
  private static final Setting<Double> READS =
      Setting.number("rates.reads", 2000, 0, 1e9, "Reads per second; 0 for no limit.");
  private static final Setting<Double> WRITES =
      Setting.number("rates.writes", 400, 0, 1e9, "Writes per second; 0 for no limit.");
  private static final Setting<Double> ANSWER_DELAY =
      Setting.number("answer_delay_ms", 3, 0, 60_000, "Time to answer a call, in milliseconds.");

  /** Settings of this kind. */
  public static final SettingsSpec SPEC = CommonSettings.spec("store", READS, WRITES, ANSWER_DELAY);

  private static final int MAX_VALUE_BYTES = 1 << 20;
  private static final int MAX_KEY_SEGMENTS = 6;
  private static final Duration MAX_WAIT = Duration.ofMinutes(5);
  private static final String REVISION = "Revision";

  private final StoreValues values;
  private final Leases leases;
  private final StoreCounters counters = new StoreCounters();
  private final RateLimit reads;
  private final RateLimit writes;
  private final long answerNanos;

  private StoreStandin(Settings settings, InstantSource clock) {
    super("store", settings, clock);
    values = new StoreValues();
    leases = new Leases(clock, values, server.log);
    reads = rate(settings.value(READS));
    writes = rate(settings.value(WRITES));
    answerNanos = CommonSettings.nanos(settings.value(ANSWER_DELAY));
    keyRoutes();
    server
        .guarded("POST", "/v1/leases", call -> "post leases", this::grantLease)
        .guarded("POST", "/v1/leases/{id}", call -> "post leases", this::renewLease)
        .guarded("DELETE", "/v1/leases/{id}", call -> "delete leases", this::endLease)
        .control("GET", "/counters", call -> HttpReply.json(200, counters.json()))
        .start(counters::json);
    server.faults.onBurst(fault -> (fault.on().startsWith("get") ? reads : writes).tryTake());
    server.timer.every(Duration.ofMillis(20), leases::expire);
  }

  /** Starts a store. */
  public static StoreStandin start(Settings settings, InstantSource clock) {
    return new StoreStandin(settings, clock);
  }

  /** Starts a store with the system's clock and settings in TOML, for tests. */
  public static StoreStandin start(String toml) {
    return start(CommonSettings.parse(SPEC, toml), InstantSource.system());
  }

  /** Returns a limit that allows the calls of one second at once. */
  private static RateLimit rate(double perSecond) {
    return new RateLimit(perSecond, perSecond, System::nanoTime);
  }

  /** Returns the numbers of calls by kind since the start, as {@code GET /counters} lists them. */
  public Map<String, Object> counters() {
    return counters.json();
  }

  /** Adds the resources of keys; the server matches a fixed number of path segments at a time. */
  private void keyRoutes() {
    StringBuilder path = new StringBuilder("/v1/kv");
    for (int segments = 1; segments <= MAX_KEY_SEGMENTS; segments++) {
      path.append("/{").append(segments).append('}');
      int count = segments;
      server
          .guarded("GET", path.toString(), c -> "get " + key(c, count), (c, d) -> get(c, count))
          .guarded("PUT", path.toString(), c -> "put " + key(c, count), (c, d) -> put(c, count))
          .guarded(
              "DELETE",
              path.toString(),
              c -> "delete " + key(c, count),
              (c, d) -> delete(c, count));
    }
  }

  private static String key(HttpCall call, int segments) {
    StringBuilder key = new StringBuilder(call.path("1"));
    for (int i = 2; i <= segments; i++) {
      key.append('/').append(call.path(Integer.toString(i)));
    }
    return key.toString();
  }

  private CompletableFuture<HttpReply> get(HttpCall call, int segments) {
    if (!reads.tryTake()) {
      return refuse("reads_refused");
    }
    String key = key(call, segments);
    Optional<String> after = call.query("after");
    if (after.isEmpty()) {
      counters.add("reads", key, 0);
      return answer(values.get(key).map(StoreStandin::found).orElse(absent(key)), key);
    }
    counters.add("watches", key, 0);
    Duration wait =
        Duration.ofMillis(call.query("timeout_ms").map(Long::parseLong).orElse(30_000L));
    CompletableFuture<StoreValues.Value> changed = values.await(key, Long.parseLong(after.get()));
    counters.waiting(1);
    server
        .timer
        .after(wait.compareTo(MAX_WAIT) > 0 ? MAX_WAIT : wait)
        .thenRun(() -> changed.cancel(false));
    return changed
        .handle((value, timeout) -> value == null ? unchanged() : found(value))
        .thenCompose(
            reply -> {
              counters.waiting(-1);
              return answer(reply, key);
            });
  }

  private CompletableFuture<HttpReply> put(HttpCall call, int segments) {
    if (!writes.tryTake()) {
      return refuse("writes_refused");
    }
    String key = key(call, segments);
    Optional<String> expected = call.header("Expected-Revision");
    counters.add("writes", key, call.body().length);
    if (expected.isEmpty()) {
      return answer(
          StandinServer.error(400, "the header Expected-Revision is missing; send 0 for a new key"),
          key);
    }
    if (call.body().length > MAX_VALUE_BYTES) {
      return answer(StandinServer.error(413, "the value is larger than 1 MB"), key);
    }
    Optional<String> lease = call.header("Lease");
    if (lease.isPresent() && !leases.live(lease.get())) {
      return answer(StandinServer.error(410, "the lease has expired"), key);
    }
    Optional<Long> revision =
        values.compareAndSet(key, Long.parseLong(expected.get()), call.body(), lease);
    if (revision.isEmpty()) {
      counters.add("conflicts", key, 0);
      return answer(withRevision(409, new byte[0], values.revision(key)), key);
    }
    server.ledger.add(call.header("Request-Id").orElse(""), "put " + key, "r" + revision.get());
    return answer(withRevision(200, new byte[0], revision.get()), key);
  }

  private CompletableFuture<HttpReply> delete(HttpCall call, int segments) {
    if (!writes.tryTake()) {
      return refuse("writes_refused");
    }
    String key = key(call, segments);
    counters.add("writes", key, 0);
    long expected =
        call.header("Expected-Revision").map(Long::parseLong).orElse(values.revision(key));
    boolean removed = values.remove(key, expected);
    return answer(HttpReply.json(removed ? 200 : 409, Map.of("removed", removed)), key);
  }

  private CompletableFuture<HttpReply> grantLease(HttpCall call, Optional<Fault> drop) {
    if (!writes.tryTake()) {
      return refuse("writes_refused");
    }
    counters.add("leases", "", 0);
    Duration ttl = Duration.ofMillis(StandinServer.body(call).path("ttl_ms").asLong(10_000));
    String id = leases.grant(ttl);
    return answer(
        HttpReply.json(200, StandinServer.ordered("lease", id, "ttl_ms", ttl.toMillis())), "");
  }

  private CompletableFuture<HttpReply> renewLease(HttpCall call, Optional<Fault> drop) {
    if (!writes.tryTake()) {
      return refuse("writes_refused");
    }
    counters.add("leases", "", 0);
    boolean renewed = leases.renew(call.path("id"));
    return answer(HttpReply.json(renewed ? 200 : 410, Map.of("renewed", renewed)), "");
  }

  private CompletableFuture<HttpReply> endLease(HttpCall call, Optional<Fault> drop) {
    if (!writes.tryTake()) {
      return refuse("writes_refused");
    }
    counters.add("leases", "", 0);
    leases.end(call.path("id"));
    return answer(HttpReply.json(200, Map.of("ended", true)), "");
  }

  private CompletableFuture<HttpReply> refuse(String counter) {
    counters.add(counter, "", 0);
    server.log.event(StandinEvent.RATE_EXCEEDED).with("counter", counter).write();
    return CompletableFuture.completedFuture(
        new HttpReply(429, "application/json", Map.of("Retry-After", "1"), new byte[0]));
  }

  private CompletableFuture<HttpReply> answer(HttpReply reply, String key) {
    long nanos = (long) (answerNanos * server.faults.slowFactor("get " + key));
    return server.timer.afterNanos(nanos).thenApply(done -> reply);
  }

  private static HttpReply found(StoreValues.Value value) {
    return withRevision(200, value.bytes(), value.revision());
  }

  private static HttpReply absent(String key) {
    return StandinServer.error(404, "key " + key + " is absent");
  }

  private static HttpReply unchanged() {
    return HttpReply.bytes(304, new byte[0], Map.of());
  }

  private static HttpReply withRevision(int status, byte[] body, long revision) {
    return HttpReply.bytes(status, body, Map.of(REVISION, Long.toString(revision)));
  }
}
