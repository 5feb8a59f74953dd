package org.oriolewell.loadtool;

/**
 * A request that has ended, with all its attempts.
 *
 * @param traffic what it was part of
 * @param key idempotency key; empty for none
 * @param outcome what the caller knows at the end
 * @param kind kind of the problem; empty for an answer
 * @param latencyNanos time from the intended start to the end
 * @param firstTokenNanos time from the intended start to the first token; 0 if there was none
 * @param tokens number of tokens
 * @param attempts number of attempts
 * @param claimsNotRun whether the system said of every attempt, or by settling the key, that it did
 *     not run
 */
record Ended(
    Workload.Traffic traffic,
    String key,
    Outcome outcome,
    String kind,
    long latencyNanos,
    long firstTokenNanos,
    int tokens,
    int attempts,
    boolean claimsNotRun) {

  /** Returns whether the answer came whole and within the deadline. */
  boolean inTime() {
    return outcome == Outcome.ANSWERED && latencyNanos <= traffic.deadline().toNanos();
  }
}
