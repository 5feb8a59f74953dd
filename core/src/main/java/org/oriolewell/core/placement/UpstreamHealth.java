package org.oriolewell.core.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * A gateway's observations of the upstreams that it calls: calls in flight and recent failures.
 *
 * <p>By its number of calls in flight alone, an upstream that fails fast would attract all traffic;
 * and one that stopped answering blocks every request sent to it. Each upstream has a failure
 * score: the sum of its failures, each with a weight that decays with a half-life. An upstream
 * whose score reaches a limit gets only one trial call at a time while there are others, which
 * detects its recovery without health probes.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class UpstreamHealth {
  /** Half-life of a failure's weight in the score; a short fault lasts a few seconds. */
  private static final Duration FAILURE_HALF_LIFE = Duration.ofSeconds(2);

  /** Failure score from which an upstream is avoided. */
  private static final double AVOID_FAILURE_SCORE = 0.8;

  /** Upper limit of the failure score, so that an upstream is tried again within seconds. */
  private static final double MAX_FAILURE_SCORE = 4;

  private static final class Observations {
    private int inFlight;
    private double failureScore;
    private long scoredAt;

    private double failureScore(long now) {
      double ageInHalfLives = Math.max(0, now - scoredAt) / (double) FAILURE_HALF_LIFE.toNanos();
      return failureScore * Math.pow(0.5, ageInHalfLives);
    }
  }

  private final Map<String, Observations> observationsById = new HashMap<>();

  private UpstreamHealth() {}

  /** Returns an object without observations. */
  public static UpstreamHealth create() {
    return new UpstreamHealth();
  }

  /** Records that a call to an upstream starts. */
  public void started(String upstreamId) {
    observationsById.computeIfAbsent(upstreamId, key -> new Observations()).inFlight++;
  }

  /** Records that a call to an upstream ended, with or without success. */
  public void ended(String upstreamId) {
    Observations observations = observationsById.get(upstreamId);
    if (observations != null) {
      observations.inFlight = Math.max(0, observations.inFlight - 1);
    }
  }

  /** Records that an upstream answered successfully; halves its failure score. */
  public void succeeded(String upstreamId, long now) {
    Observations observations = observationsById.get(upstreamId);
    if (observations != null) {
      observations.failureScore = observations.failureScore(now) / 2;
      observations.scoredAt = now;
    }
  }

  /**
   * Records that a call to an upstream failed.
   *
   * @param weight amount added to the failure score: 1 if the upstream certainly doesn't work, less
   *     if the failure may have another cause
   */
  public void failed(String upstreamId, double weight, long now) {
    Observations observations =
        observationsById.computeIfAbsent(upstreamId, key -> new Observations());
    observations.failureScore =
        Math.min(MAX_FAILURE_SCORE, observations.failureScore(now) + weight);
    observations.scoredAt = now;
  }

  /** Returns the number of calls in flight to an upstream. */
  public int inFlight(String upstreamId) {
    Observations observations = observationsById.get(upstreamId);
    return observations == null ? 0 : observations.inFlight;
  }

  /** Returns an upstream's failure score: its failures by weight, decayed by age; 0 if none. */
  public double failureScore(String upstreamId, long now) {
    Observations observations = observationsById.get(upstreamId);
    return observations == null ? 0 : observations.failureScore(now);
  }

  /** Returns whether an upstream should get no request while there are others to choose. */
  public boolean isAvoided(String upstreamId, long now) {
    return failureScore(upstreamId, now) >= AVOID_FAILURE_SCORE;
  }
}
