package org.oriolewell.core.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * What a gateway knows about the capacity of upstreams: the sums of its region's collector, with
 * its own work since its last report added; or only its own observations if the sums are old. Times
 * are monotonic, in nanoseconds. Not thread-safe.
 */
public final class SharedCapacity implements CapacitySource, StreamPace.GapListener {
  /** Age from which the sums aren't used; the collector refreshes each within a second or two. */
  private static final Duration SUM_AGE = Duration.ofSeconds(3);

  /** Most measurements in a report; more than a gateway makes between two reports. */
  private static final int MAX_MEASUREMENTS = 64;

  private static final double TENTH = 0.1;
  private static final int NANOS_PER_MICRO = 1000;

  private record Sum(double work, int level, long receivedAt) {}

  private final LearnedSpeeds ownSpeeds = LearnedSpeeds.create();
  private final UnansweredWork ownWork;
  private final Map<String, Sum> sumsById = new HashMap<>();
  private final List<String> measured = new ArrayList<>();
  private final List<Integer> gapMicros = new ArrayList<>();

  /** Own work in the last report, and in the last report before the newest sums. */
  private Map<String, Double> reportedWork = Map.of();

  private Map<String, Double> workInSums = Map.of();

  private SharedCapacity(UnansweredWork ownWork) {
    this.ownWork = ownWork;
  }

  /** Returns an object without observations. */
  public static SharedCapacity of(UnansweredWork ownWork) {
    return new SharedCapacity(ownWork);
  }

  @Override
  public void observe(String upstreamId, long gapNanos, long now) {
    ownSpeeds.observe(upstreamId, gapNanos, now);
    if (measured.size() < MAX_MEASUREMENTS) {
      measured.add(upstreamId);
      gapMicros.add((int) Math.min(Integer.MAX_VALUE, gapNanos / NANOS_PER_MICRO));
    }
  }

  /** Returns the report that is due now, and counts its measurements as reported. */
  public CapacityReport nextReport(long now) {
    ownSpeeds.removeOld(now);
    sumsById.values().removeIf(sum -> now - sum.receivedAt() > SUM_AGE.toNanos());
    reportedWork = ownWork.byUpstream();
    List<String> upstreams = new ArrayList<>();
    List<Integer> tenths = new ArrayList<>();
    reportedWork.forEach(
        (upstreamId, work) -> {
          upstreams.add(upstreamId);
          tenths.add((int) Math.round(work / TENTH));
        });
    CapacityReport report = new CapacityReport(upstreams, tenths, measured, gapMicros);
    measured.clear();
    gapMicros.clear();
    return report;
  }

  /** Takes over sums of the collector. */
  public void received(CapacitySums sums, long now) {
    workInSums = reportedWork;
    for (int i = 0; i < sums.upstreams().size(); i++) {
      sumsById.put(
          sums.upstreams().get(i),
          new Sum(Math.max(0, sums.tenthsOfWork().get(i)) * TENTH, sums.levels().get(i), now));
    }
  }

  @Override
  public OptionalInt level(String upstreamId, long now) {
    Sum sum = freshSum(upstreamId, now);
    return sum == null || sum.level() == CapacitySums.UNKNOWN_LEVEL
        ? ownSpeeds.level(upstreamId, now)
        : OptionalInt.of(sum.level());
  }

  @Override
  public double load(String upstreamId, long now) {
    double own = ownWork.at(upstreamId);
    Sum sum = freshSum(upstreamId, now);
    return sum == null
        ? own
        : Math.max(own, sum.work() + own - workInSums.getOrDefault(upstreamId, 0.0));
  }

  /** Returns the age of what the collector has told about an upstream; empty if it isn't used. */
  public OptionalLong ageMillis(String upstreamId, long now) {
    Sum sum = freshSum(upstreamId, now);
    return sum == null
        ? OptionalLong.empty()
        : OptionalLong.of(Duration.ofNanos(now - sum.receivedAt()).toMillis());
  }

  /** Returns the learned speeds by upstream; 1 is the speed at level 0. */
  public Map<String, Double> speeds(long now) {
    Set<String> upstreamIds = new HashSet<>(ownSpeeds.upstreamIds());
    upstreamIds.addAll(sumsById.keySet());
    Map<String, Double> speeds = new HashMap<>();
    for (String upstreamId : upstreamIds) {
      level(upstreamId, now).ifPresent(level -> speeds.put(upstreamId, SpeedLevel.speed(level)));
    }
    return speeds;
  }

  private @Nullable Sum freshSum(String upstreamId, long now) {
    Sum sum = sumsById.get(upstreamId);
    return sum == null || now - sum.receivedAt() > SUM_AGE.toNanos() ? null : sum;
  }
}
