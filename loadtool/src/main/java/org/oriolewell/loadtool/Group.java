package org.oriolewell.loadtool;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Measures of the requests of one pipeline, workspace or firm, or of all. */
final class Group {
  private static final double ROUNDING = 1e5;

  final Timings latency = new Timings();
  final Timings firstToken = new Timings();
  final Timings gaps = new Timings();
  private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
  private final Map<String, Integer> kinds = new TreeMap<>();
  private int requests;
  private int late;
  private int repeated;
  private int attained;
  private int retried;
  private long tokens;

  /**
   * Counts a request.
   *
   * @param ranTwice whether its key took effect more than once
   */
  void add(Ended ended, boolean ranTwice) {
    requests++;
    outcomes.merge(ended.outcome(), 1, Integer::sum);
    if (!ended.kind().isEmpty()) {
      kinds.merge(ended.kind(), 1, Integer::sum);
    }
    if (ended.attempts() > 1) {
      retried++;
    }
    if (ranTwice) {
      repeated++;
    }
    if (ended.outcome() == Outcome.ANSWERED) {
      latency.add(ended.latencyNanos());
      tokens += ended.tokens();
      if (!ended.inTime()) {
        late++;
      } else if (!ranTwice) {
        attained++;
      }
    }
    if (ended.firstTokenNanos() > 0) {
      firstToken.add(ended.firstTokenNanos());
    }
  }

  int requests() {
    return requests;
  }

  int count(Outcome outcome) {
    return outcomes.getOrDefault(outcome, 0);
  }

  /** Returns the share of requests answered whole, in time and without repetition. */
  double attainment() {
    return requests == 0 ? 1 : (double) attained / requests;
  }

  Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("requests", requests);
    json.put("attainment", Math.floor(attainment() * ROUNDING) / ROUNDING);
    json.put("attained", attained);
    for (Outcome outcome : Outcome.values()) {
      json.put(outcome.name().toLowerCase(Locale.ROOT), count(outcome));
    }
    json.put("late", late);
    json.put("repeated", repeated);
    json.put("retried", retried);
    json.put("kinds", kinds);
    json.put("tokens", tokens);
    json.put("latency_ms", latency.json());
    if (firstToken.count() > 0) {
      json.put("first_token_ms", firstToken.json());
      json.put("token_gap_ms", gaps.json());
    }
    return json;
  }
}
