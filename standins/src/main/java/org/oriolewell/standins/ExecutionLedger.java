package org.oriolewell.standins;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.oriolewell.runtime.log.EventLog;

/**
 * What a stand-in ran, in order. It keeps the last executions up to a limit, and for each operation
 * and key how often it ran without a limit.
 */
public final class ExecutionLedger {
  private final InstantSource clock;
  private final EventLog log;
  private final int limit;
  private final Deque<Execution> last = new ArrayDeque<>();
  private final Map<Identity, Integer> times = new HashMap<>();
  private long total;

  /**
   * Identity of an effect.
   *
   * @param operation stage or operation
   * @param key idempotency key, or the request if there is none
   */
  private record Identity(String operation, String key) {}

  /**
   * An effect that took place more than once.
   *
   * @param operation stage or operation
   * @param key idempotency key, or the request if there is none
   * @param times how often it ran
   */
  public record Repeated(String operation, String key, int times) {}

  ExecutionLedger(InstantSource clock, EventLog log, int limit) {
    this.clock = clock;
    this.log = log;
    this.limit = limit;
  }

  /** Records an execution and returns it. */
  synchronized Execution add(String requestId, String operation, String key) {
    String identity = key.isEmpty() ? requestId : key;
    int count = times.merge(new Identity(operation, identity), 1, Integer::sum);
    Execution execution = new Execution(clock.millis(), requestId, operation, key, count);
    total++;
    last.addLast(execution);
    if (last.size() > limit) {
      last.removeFirst();
    }
    if (count > 1 && !key.isEmpty()) {
      log.event(StandinEvent.EXECUTION_REPEATED)
          .with("operation", operation)
          .with("key", key)
          .with("times", count)
          .write();
    }
    return execution;
  }

  /** Returns the kept executions that a condition accepts, oldest first. */
  public synchronized List<Execution> matching(Predicate<Execution> condition) {
    return last.stream().filter(condition).toList();
  }

  /** Returns how often an operation ran for a key, or for a request if it has no key. */
  public synchronized int times(String operation, String key) {
    return times.getOrDefault(new Identity(operation, key), 0);
  }

  /** Returns how many executions there were. */
  public synchronized long total() {
    return total;
  }

  /** Returns the effects that took place more than once, the most frequent first. */
  public synchronized List<Repeated> repeated() {
    return times.entrySet().stream()
        .filter(entry -> entry.getValue() > 1)
        .map(e -> new Repeated(e.getKey().operation(), e.getKey().key(), e.getValue()))
        .sorted(
            Comparator.comparing(Repeated::times)
                .reversed()
                .thenComparing(Repeated::operation)
                .thenComparing(Repeated::key))
        .toList();
  }

  /** Returns the kept executions that a condition accepts as JSON for {@code GET /executions}. */
  synchronized Map<String, Object> json(Predicate<Execution> condition) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("total", total);
    json.put("dropped", total - last.size());
    json.put(
        "repeated",
        repeated().stream()
            .map(r -> Map.of("operation", r.operation(), "key", r.key(), "times", r.times()))
            .toList());
    json.put("executions", matching(condition).stream().map(ExecutionLedger::json).toList());
    return json;
  }

  private static Map<String, Object> json(Execution execution) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("epoch_ms", execution.epochMillis());
    json.put("request_id", execution.requestId());
    json.put("operation", execution.operation());
    json.put("key", execution.key());
    json.put("times", execution.times());
    return json;
  }
}
