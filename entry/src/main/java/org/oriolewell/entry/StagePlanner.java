package org.oriolewell.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.deadline.DeadlinePlanner;
import org.oriolewell.core.deadline.StageKey;
import org.oriolewell.core.deadline.StagePlan;

/** The {@link DeadlinePlanner} of this entry, for use by several threads. */
final class StagePlanner {
  private final DeadlinePlanner planner = DeadlinePlanner.create();

  /**
   * Time for a stage.
   *
   * @param reachable whether the stages that remain can finish in the time that remains
   * @param time time that the stage may take, such that later stages keep what they need
   */
  record Plan(boolean reachable, Duration time) {}

  /** Plans a stage of a request. */
  synchronized Plan plan(CallerRequest request, int stage, Duration remaining) {
    List<StageKey> keys = new ArrayList<>();
    List<StageSpec> stages = request.spec().stages();
    for (int i = stage; i < stages.size(); i++) {
      keys.add(key(request, stages.get(i)));
    }
    long nanos = Math.max(0, remaining.toNanos());
    StagePlan whole = planner.plan(keys, nanos);
    long later =
        keys.size() == 1 ? 0 : planner.plan(keys.subList(1, keys.size()), nanos).neededNanos();
    return new Plan(whole.reachable(), Duration.ofNanos(Math.max(0, nanos - later)));
  }

  /** Notes the time of an answered stage. */
  synchronized void observed(CallerRequest request, int stage, Duration time) {
    planner.observed(key(request, request.spec().stages().get(stage)), time.toNanos());
  }

  private static StageKey key(CallerRequest request, StageSpec stage) {
    return new StageKey(
        request.pipeline(), stage.name(), Duration.ofMillis(stage.minMillis()).toNanos());
  }
}
