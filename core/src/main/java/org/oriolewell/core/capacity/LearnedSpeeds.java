package org.oriolewell.core.capacity;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Speeds of upstreams that write streams, learned by one gateway from the gaps between events.
 *
 * <p>The time of a step hardly depends on an engine's load. Prompts that are read beside a stream
 * lengthen some gaps, so a low quantile of the recent gaps is used. The level of an upstream
 * changes only if the measurement is clearly nearer to another one. Times are monotonic, in
 * nanoseconds. Not thread-safe.
 */
public final class LearnedSpeeds implements StreamPace.GapListener {
  /** Observations of an upstream that one gateway keeps. */
  private static final int OWN_OBSERVATIONS = 16;

  /** Observations without which no level is derived. */
  private static final int MIN_OBSERVATIONS = 3;

  /** Age up to which an observation counts; a gateway sees one stream in ten seconds. */
  private static final Duration OBSERVATION_AGE = Duration.ofSeconds(10);

  /** Time after the last observation at which a level is forgotten. */
  private static final Duration LEVEL_AGE = Duration.ofSeconds(30);

  /** Smallest interval between two derivations of a level. */
  private static final Duration DERIVE_INTERVAL = Duration.ofMillis(250);

  /** Share of the observations below the quantile that is used. */
  private static final double QUANTILE = 0.3;

  /** Distance from the present level, in levels, at which it changes. */
  private static final double HYSTERESIS = 0.75;

  /** Gaps below this time come from several events that were read together. */
  private static final long MIN_GAP_NANOS = Duration.ofMillis(1).toNanos();

  private static final class Observations {
    private final long[] gaps;
    private final long[] times;
    private int count;
    private int next;
    private long lastAt;
    private long derivedAt;
    private int level;
    private boolean levelKnown;

    private Observations(int maxObservations) {
      gaps = new long[maxObservations];
      times = new long[maxObservations];
    }

    private void add(long gapNanos, long now) {
      gaps[next] = gapNanos;
      times[next] = now;
      next = (next + 1) % gaps.length;
      count = Math.min(gaps.length, count + 1);
      lastAt = now;
      if (!levelKnown || now - derivedAt >= DERIVE_INTERVAL.toNanos()) {
        deriveLevel(now);
      }
    }

    private void deriveLevel(long now) {
      long[] recentGaps = new long[count];
      int recent = 0;
      for (int i = 0; i < count; i++) {
        if (now - times[i] <= OBSERVATION_AGE.toNanos()) {
          recentGaps[recent++] = gaps[i];
        }
      }
      if (recent < MIN_OBSERVATIONS) {
        return;
      }
      derivedAt = now;
      Arrays.sort(recentGaps, 0, recent);
      double position = SpeedLevel.position(recentGaps[(int) (recent * QUANTILE)]);
      if (!levelKnown || Math.abs(position - level) > HYSTERESIS) {
        level = (int) Math.round(position);
        levelKnown = true;
      }
    }
  }

  private final Map<String, Observations> observationsById = new HashMap<>();

  private final int maxObservations;

  private LearnedSpeeds(int maxObservations) {
    this.maxObservations = maxObservations;
  }

  /** Returns an object without observations, for those of one gateway. */
  public static LearnedSpeeds create() {
    return withObservations(OWN_OBSERVATIONS);
  }

  /** Returns an object that keeps a number of observations of each upstream. */
  static LearnedSpeeds withObservations(int maxObservations) {
    return new LearnedSpeeds(maxObservations);
  }

  @Override
  public void observe(String upstreamId, long gapNanos, long now) {
    if (gapNanos >= MIN_GAP_NANOS) {
      observationsById
          .computeIfAbsent(upstreamId, key -> new Observations(maxObservations))
          .add(gapNanos, now);
    }
  }

  /** Returns the level of an upstream's speed; empty if there are too few recent observations. */
  public OptionalInt level(String upstreamId, long now) {
    Observations observations = observationsById.get(upstreamId);
    return observations == null
            || !observations.levelKnown
            || now - observations.lastAt > LEVEL_AGE.toNanos()
        ? OptionalInt.empty()
        : OptionalInt.of(observations.level);
  }

  /** Returns the upstreams that were observed. */
  Set<String> upstreamIds() {
    return Set.copyOf(observationsById.keySet());
  }

  /** Drops what was observed of upstreams that have sent nothing for long. */
  public void removeOld(long now) {
    observationsById
        .values()
        .removeIf(observations -> now - observations.lastAt > LEVEL_AGE.toNanos());
  }
}
