package org.oriolewell.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.deadline.DeadlinePlanner;
import org.oriolewell.core.deadline.StageKey;
import org.oriolewell.core.deadline.StagePlan;

/** Thread-safe wrapper of the {@link DeadlinePlanner} that all requests of this entry share. */
final class StagePlanner {
  private final DeadlinePlanner planner = DeadlinePlanner.create();

  /**
   * Time limit of the next stage of a request.
   *
   * @param reachable whether the remaining stages can finish before the request's deadline
   * @param timeLimit longest time that the stage may take; leaves the later stages the least time
   *     they need
   */
  record Plan(boolean reachable, Duration timeLimit) {}

  /**
   * Returns the time limit of the stage with the given index, with {@code remaining} until the
   * deadline.
   */
  synchronized Plan plan(CallerRequest request, int stage, Duration remaining) {
    List<StageKey> remainingStages = new ArrayList<>();
    List<StageSpec> stages = request.spec().stages();
    for (int i = stage; i < stages.size(); i++) {
      remainingStages.add(stageKey(request, stages.get(i)));
    }
    long remainingNanos = Math.max(0, remaining.toNanos());
    StagePlan remainingPlan = planner.plan(remainingStages, remainingNanos);
    long laterStagesNanos =
        remainingStages.size() == 1
            ? 0
            : planner
                .plan(remainingStages.subList(1, remainingStages.size()), remainingNanos)
                .neededNanos();
    return new Plan(
        remainingPlan.reachable(),
        Duration.ofNanos(Math.max(0, remainingNanos - laterStagesNanos)));
  }

  /** Records how long a stage took from its call to its answer. */
  synchronized void observed(CallerRequest request, int stage, Duration duration) {
    planner.observed(stageKey(request, request.spec().stages().get(stage)), duration.toNanos());
  }

  private static StageKey stageKey(CallerRequest request, StageSpec stageSpec) {
    return new StageKey(
        request.pipeline(), stageSpec.name(), Duration.ofMillis(stageSpec.minMillis()).toNanos());
  }
}
