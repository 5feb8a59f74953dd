package org.oriolewell.core.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Accounts for the memory that callers' connections take up with what they send, and decides what
 * is given up when there is too little.
 *
 * <p>Load pattern: many callers send requests of legal size at once and stop short of their end.
 * Each request is within its limits; their sum exceeds the memory. Above {@value #PAUSED_PERCENT}
 * percent of the bound, connections that hold more than a small request are no longer read
 * (backpressure). If that doesn't help within a grace, and at once above the bound, requests that
 * have not been read whole are given up: those that have held the most for the longest with the
 * least progress. Requests that run count, but are not given up. Not thread-safe.
 */
public final class CallerMemory {
  /** Percentage of the bound above which only small requests are read. */
  static final int PAUSED_PERCENT = 75;

  /** Percentage of a threshold that remains in use after requests were given up. */
  private static final int REMAINING_PERCENT = 90;

  /** Percentage of the bound that is left to requests which don't run, as far as it is free. */
  private static final int SPARED_PERCENT = 10;

  /** Time between two choices if there was nothing to choose, as a choice looks at everything. */
  private static final long CHOICE_INTERVAL_NANOS = 20_000_000;

  /** Smallest share of the bound that one connection may hold while others are paused. */
  private static final int SMALL_DIVISOR = 512;

  /** Least size of a small request: a read buffer, and the objects of the largest usual head. */
  private static final long MIN_SMALL_BYTES = 64 << 10;

  private final long maxBytes;
  private final long pausedBytes;
  private final long smallBytes;
  private final long pauseGraceNanos;
  private final Set<CallerHolding> holdings = new LinkedHashSet<>();
  private long bytes;
  private long pressedSince;
  private long nextChoiceAt = Long.MIN_VALUE;
  private boolean pressed;

  private CallerMemory(long maxBytes, long pauseGraceNanos) {
    this.maxBytes = maxBytes;
    this.pausedBytes = maxBytes / 100 * PAUSED_PERCENT;
    this.smallBytes = Math.max(MIN_SMALL_BYTES, maxBytes / SMALL_DIVISOR);
    this.pauseGraceNanos = pauseGraceNanos;
  }

  /**
   * Returns an account without connections.
   *
   * @param maxBytes largest sum of what all connections hold
   * @param pauseGraceNanos time for which connections are paused before requests are given up
   */
  public static CallerMemory of(long maxBytes, long pauseGraceNanos) {
    return new CallerMemory(maxBytes, pauseGraceNanos);
  }

  /** Adds a connection that holds nothing yet. */
  public void add(CallerHolding holding) {
    holdings.add(holding);
  }

  void remove(CallerHolding holding) {
    holdings.remove(holding);
  }

  void changed(long addedBytes, long now) {
    bytes += addedBytes;
    updatePressure(now);
  }

  private void updatePressure(long now) {
    if (bytes <= pausedBytes) {
      pressed = false;
    } else if (!pressed) {
      pressed = true;
      pressedSince = now;
    }
  }

  /** Returns the sum of what all connections hold, in bytes. */
  public long bytes() {
    return bytes;
  }

  /** Returns the largest sum, in bytes. */
  public long maxBytes() {
    return maxBytes;
  }

  /** Returns whether only small requests are read. */
  public boolean pressed() {
    return pressed;
  }

  /** Returns what all connections hold, by kind, in bytes. */
  public Map<CallerHolding.Kind, Long> bytesByKind() {
    Map<CallerHolding.Kind, Long> sums = new EnumMap<>(CallerHolding.Kind.class);
    for (CallerHolding.Kind kind : CallerHolding.Kind.values()) {
      sums.put(kind, holdings.stream().mapToLong(holding -> holding.bytes(kind)).sum());
    }
    return sums;
  }

  /** Returns whether more may be read from a connection now. */
  public boolean mayRead(CallerHolding holding) {
    return !pressed || (bytes <= maxBytes && holding.variableBytes() <= smallBytes);
  }

  /**
   * Returns the connections to take memory from, the first first; none while there is enough, or
   * while the pause of the others may still help.
   */
  public List<CallerHolding> overdue(long now) {
    if (bytes > maxBytes && now >= nextChoiceAt) {
      List<CallerHolding> chosen = worst(maxBytes / 100 * REMAINING_PERCENT, 0, now);
      nextChoiceAt = chosen.isEmpty() ? now + CHOICE_INTERVAL_NANOS : now;
      return chosen;
    }
    if (pressed && now - pressedSince >= pauseGraceNanos) {
      pressedSince = now;
      return worst(pausedBytes / 100 * REMAINING_PERCENT, smallBytes, now);
    }
    return List.of();
  }

  private List<CallerHolding> worst(long wantedBytes, long keptBytes, long now) {
    record Scored(CallerHolding holding, double score) {}

    List<Scored> candidates = new ArrayList<>();
    long runningBytes = 0;
    long countedBytes = 0;
    for (CallerHolding holding : holdings) {
      countedBytes += holding.bytes();
      if (holding.running()) {
        runningBytes += holding.bytes();
      } else if (holding.bytes() > keptBytes) {
        candidates.add(new Scored(holding, holding.score(now)));
      }
    }
    // Counted again, so that an error in the sum can't keep callers paused for ever.
    bytes = countedBytes;
    updatePressure(now);
    // Where those that run take up most, giving up all others would only refuse ordinary requests.
    long remainingBytes =
        Math.max(wantedBytes, Math.min(maxBytes, runningBytes + maxBytes / 100 * SPARED_PERCENT));
    candidates.sort(Comparator.comparingDouble(Scored::score).reversed());
    List<CallerHolding> chosen = new ArrayList<>();
    long expectedBytes = bytes;
    for (Scored candidate : candidates) {
      if (expectedBytes <= remainingBytes) {
        break;
      }
      chosen.add(candidate.holding());
      expectedBytes -= candidate.holding().bytes();
    }
    return chosen;
  }
}
