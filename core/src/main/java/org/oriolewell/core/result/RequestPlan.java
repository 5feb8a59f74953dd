package org.oriolewell.core.result;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.retry.Backoff;

/**
 * What a request has to do.
 *
 * @param requestId request, in hexadecimal
 * @param stages stages in the order they run, at least one
 * @param deadline end of the time in which the answer is useful
 * @param callerKey the caller's idempotency key; null if the entry makes a key for each attempt
 * @param timing delays between attempts
 */
public record RequestPlan(
    String requestId,
    List<Stage> stages,
    Instant deadline,
    @Nullable String callerKey,
    Timing timing) {

  /** Copies the list. */
  public RequestPlan {
    stages = List.copyOf(stages);
    if (stages.isEmpty()) {
      throw new IllegalArgumentException("a request needs at least one stage");
    }
  }

  /**
   * One stage.
   *
   * @param name name, unique in its pipeline
   * @param idempotent whether the stage may run more than once
   * @param streaming whether its answer comes as a token stream
   */
  public record Stage(String name, boolean idempotent, boolean streaming) {}

  /**
   * Delays between attempts.
   *
   * @param backoff delays before retries
   * @param noUpstreamWait how long a stage waits for an upstream when there is none
   */
  public record Timing(Backoff backoff, Duration noUpstreamWait) {}
}
