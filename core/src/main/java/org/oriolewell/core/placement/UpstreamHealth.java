package org.oriolewell.core.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * What a node has seen of the upstreams that it calls: calls in flight and recent failures.
 *
 * <p>Load pattern: an upstream that fails fast would attract all traffic, and one that fell silent
 * holds every request that it is given. Failures add up and fade with a half-life; an upstream
 * above the limit is avoided, but for one trial call at a time, so that its recovery is noticed
 * without probes.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class UpstreamHealth {
  /** Time in which the memory of a failure fades by half; a short fault lasts a few seconds. */
  private static final Duration HALF_LIFE = Duration.ofSeconds(2);

  /** Sum of faded failures from which an upstream is avoided. */
  private static final double AVOID_LEVEL = 0.8;

  /** Sum up to which failures add up, so that an upstream is tried again within seconds. */
  private static final double MAX_LEVEL = 4;

  private static final class Seen {
    private int inFlight;
    private double level;
    private long at;

    private double level(long now) {
      double age = Math.max(0, now - at) / (double) HALF_LIFE.toNanos();
      return level * Math.pow(0.5, age);
    }
  }

  private final Map<String, Seen> byId = new HashMap<>();

  private UpstreamHealth() {}

  /** Returns a state without any observation. */
  public static UpstreamHealth create() {
    return new UpstreamHealth();
  }

  /** Records that a call begins. */
  public void started(String id) {
    byId.computeIfAbsent(id, i -> new Seen()).inFlight++;
  }

  /** Records that a call ended, however it ended. */
  public void ended(String id) {
    Seen seen = byId.get(id);
    if (seen != null) {
      seen.inFlight = Math.max(0, seen.inFlight - 1);
    }
  }

  /** Records a good answer. */
  public void succeeded(String id, long now) {
    Seen seen = byId.get(id);
    if (seen != null) {
      seen.level = seen.level(now) / 2;
      seen.at = now;
    }
  }

  /**
   * Records a failure.
   *
   * @param weight 1 for a failure that says the upstream is out of order, less for a doubtful one
   */
  public void failed(String id, double weight, long now) {
    Seen seen = byId.computeIfAbsent(id, i -> new Seen());
    seen.level = Math.min(MAX_LEVEL, seen.level(now) + weight);
    seen.at = now;
  }

  /** Returns the calls in flight. */
  public int inFlight(String id) {
    Seen seen = byId.get(id);
    return seen == null ? 0 : seen.inFlight;
  }

  /** Returns the failures that are remembered, faded by age. */
  public double level(String id, long now) {
    Seen seen = byId.get(id);
    return seen == null ? 0 : seen.level(now);
  }

  /** Returns whether an upstream should be avoided while others are left. */
  public boolean avoided(String id, long now) {
    return level(id, now) >= AVOID_LEVEL;
  }
}
