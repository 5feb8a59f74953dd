package org.oriolewell.core.result;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.retry.Backoff;

/**
 * Stages, deadline and idempotency key of a request.
 *
 * @param requestId identifier of the request, in hexadecimal
 * @param stages stages in the order in which they run, at least one
 * @param deadline time after which the answer is useless
 * @param callerKey the caller's idempotency key; null if the entry creates a key for each attempt
 * @param timing delays between attempts
 */
public record RequestPlan(
    String requestId,
    List<Stage> stages,
    Instant deadline,
    @Nullable String callerKey,
    Timing timing) {

  /** Copies the list of stages, which must not be empty. */
  public RequestPlan {
    stages = List.copyOf(stages);
    if (stages.isEmpty()) {
      throw new IllegalArgumentException("a request needs at least one stage");
    }
  }

  /**
   * One stage of the request's pipeline.
   *
   * @param name name of the stage, unique in its pipeline
   * @param idempotent whether the stage may run more than once
   * @param streaming whether its answer arrives as a token stream
   */
  public record Stage(String name, boolean idempotent, boolean streaming) {}

  /**
   * Delays between the attempts of a stage.
   *
   * @param backoff delays before retries
   * @param noUpstreamWait time for which a stage without a usable upstream waits for one
   */
  public record Timing(Backoff backoff, Duration noUpstreamWait) {}
}
