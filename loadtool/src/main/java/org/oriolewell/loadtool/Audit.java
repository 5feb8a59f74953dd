package org.oriolewell.loadtool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Compares what callers were told with what the stand-ins ran. Executions of one operation and key
 * are added up over all stand-ins, since a repeated call may reach another upstream.
 */
final class Audit {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SHOWN = 100;

  private final Map<String, Long> byOperation = new TreeMap<>();
  private final Map<String, Map<String, Integer>> timesByKey = new HashMap<>();
  private final List<Map<String, Object>> repeated = new ArrayList<>();
  private final List<Map<String, Object>> contradictions = new ArrayList<>();
  private final Set<String> repeatedKeys = new HashSet<>();
  private long total;
  private long dropped;
  private int unknownExecuted;
  private int unknownNotExecuted;

  /**
   * Reads the ledgers of stand-ins and audits a run.
   *
   * @param fromMillis time from which executions count, in milliseconds since the epoch
   * @throws IOException if a ledger can't be read
   */
  static Audit of(List<URI> standins, List<Ended> ended, long fromMillis) throws IOException {
    Audit audit = new Audit();
    for (URI standin : standins) {
      audit.read(JSON.readTree(Fetch.text(standin.resolve("/executions?after_ms=" + fromMillis))));
    }
    audit.check(ended);
    return audit;
  }

  /** Audits a run against ledgers that were already read. */
  static Audit ofLedgers(List<JsonNode> ledgers, List<Ended> ended) {
    Audit audit = new Audit();
    ledgers.forEach(audit::read);
    audit.check(ended);
    return audit;
  }

  private void read(JsonNode ledger) {
    total += ledger.path("executions").size();
    dropped += ledger.path("dropped").asLong();
    for (JsonNode execution : ledger.path("executions")) {
      String operation = execution.path("operation").asText();
      byOperation.merge(operation, 1L, Long::sum);
      String key = execution.path("key").asText();
      if (!key.isEmpty()) {
        timesByKey.computeIfAbsent(key, k -> new TreeMap<>()).merge(operation, 1, Integer::sum);
      }
    }
  }

  private void check(List<Ended> ended) {
    Set<String> keyedPipelines = new HashSet<>();
    for (Ended request : ended) {
      if (timesByKey.containsKey(request.key())) {
        keyedPipelines.add(request.traffic().pipeline());
      }
    }
    for (Ended request : ended) {
      if (!request.key().isEmpty() && keyedPipelines.contains(request.traffic().pipeline())) {
        check(request, timesByKey.getOrDefault(request.key(), Map.of()));
      }
    }
  }

  private void check(Ended request, Map<String, Integer> times) {
    times.forEach(
        (operation, count) -> {
          if (count > 1) {
            repeatedKeys.add(request.key());
            add(repeated, request, operation, count);
          }
        });
    boolean executed = !times.isEmpty();
    if (request.claimsNotRun() && executed) {
      add(contradictions, request, "told not_run but executed", times.size());
    }
    if (request.outcome() == Outcome.ANSWERED && !executed && dropped == 0) {
      add(contradictions, request, "told answered but not executed", 0);
    }
    if (request.outcome() == Outcome.UNKNOWN || request.outcome() == Outcome.BROKEN) {
      if (executed) {
        unknownExecuted++;
      } else {
        unknownNotExecuted++;
      }
    }
  }

  private static void add(List<Map<String, Object>> list, Ended request, String what, int times) {
    Map<String, Object> item = new LinkedHashMap<>();
    item.put("what", what);
    item.put("key", request.key());
    item.put("workspace", request.traffic().workspace());
    item.put("pipeline", request.traffic().pipeline());
    item.put("outcome", request.outcome());
    item.put("times", times);
    list.add(item);
  }

  /** Returns whether a key took effect more than once. */
  boolean ranTwice(String key) {
    return repeatedKeys.contains(key);
  }

  /** Returns whether nothing ran twice and no outcome contradicts the ledgers. */
  boolean clean() {
    return repeated.isEmpty() && contradictions.isEmpty();
  }

  Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("clean", clean());
    json.put("executions", total);
    json.put("executions_not_listed", dropped);
    json.put("by_operation", byOperation);
    json.put("keys_seen", timesByKey.size());
    json.put("repeated_count", repeated.size());
    json.put("repeated", repeated.subList(0, Math.min(SHOWN, repeated.size())));
    json.put("contradiction_count", contradictions.size());
    json.put("contradictions", contradictions.subList(0, Math.min(SHOWN, contradictions.size())));
    json.put("unknown_executed", unknownExecuted);
    json.put("unknown_not_executed", unknownNotExecuted);
    return json;
  }
}
