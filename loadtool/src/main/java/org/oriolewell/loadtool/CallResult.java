package org.oriolewell.loadtool;

import java.util.List;

/**
 * The end of one call.
 *
 * @param outcome what the caller knows
 * @param kind kind of the problem, or a short reason; empty for an answer
 * @param requestId identity that the entry gave the request; empty if unknown
 * @param firstTokenNanos monotonic time of the first token; 0 if there was none
 * @param gapsNanos times between tokens
 * @param tokens number of tokens
 * @param stages time by stage as the entry reports it
 */
record CallResult(
    Outcome outcome,
    String kind,
    String requestId,
    long firstTokenNanos,
    List<Long> gapsNanos,
    int tokens,
    List<StageTime> stages) {

  /**
   * Time of a stage.
   *
   * @param stage name
   * @param upstream upstream that ran it
   * @param millis time in milliseconds
   */
  record StageTime(String stage, String upstream, double millis) {}

  /** Returns a result without an answer. */
  static CallResult without(Outcome outcome, String kind) {
    return new CallResult(outcome, kind, "", 0, List.of(), 0, List.of());
  }
}
