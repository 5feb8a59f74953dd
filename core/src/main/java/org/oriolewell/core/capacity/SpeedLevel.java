package org.oriolewell.core.capacity;

import java.util.Arrays;
import java.util.OptionalInt;

/**
 * Speeds on a logarithmic scale of whole levels. Gateways that measure slightly different speeds
 * mostly have the same level, and so choose the same engine for a prompt prefix.
 */
public final class SpeedLevel {
  /** Levels for a factor of two; a level is a difference of 19% in speed. */
  private static final int LEVELS_PER_OCTAVE = 4;

  /** Gap between events at level 0: four steps of an engine of speed 1. */
  private static final double REFERENCE_GAP_NANOS = 20_000_000;

  /**
   * Largest difference from the median that is used, a factor of four. An upstream with an
   * implausible speed must neither attract all requests nor get none, since requests show its
   * recovery.
   */
  private static final int MAX_DIFFERENCE = 2 * LEVELS_PER_OCTAVE;

  /**
   * Exponent of the speed in the weight of an engine. In the replay, 0.85 gave more requests in
   * time at high load than 1.2 and 1.5, which overload the fast engines, and as many at low load.
   */
  private static final double WEIGHT_EXPONENT = 0.85;

  private static final double[] WEIGHTS = new double[2 * MAX_DIFFERENCE + 1];
  private static final double[] RATIOS = new double[2 * MAX_DIFFERENCE + 1];

  static {
    for (int i = 0; i < WEIGHTS.length; i++) {
      RATIOS[i] = Math.pow(2, (i - MAX_DIFFERENCE) / (double) LEVELS_PER_OCTAVE);
      WEIGHTS[i] = Math.pow(RATIOS[i], WEIGHT_EXPONENT);
    }
  }

  private SpeedLevel() {}

  /** Returns the position of a gap between events on the scale, which is not rounded to a level. */
  static double position(double gapNanos) {
    return -LEVELS_PER_OCTAVE * Math.log(gapNanos / REFERENCE_GAP_NANOS) / Math.log(2);
  }

  /** Returns the speed at a level; 1 at level 0. */
  static double speed(int level) {
    return Math.pow(2, level / (double) LEVELS_PER_OCTAVE);
  }

  /** Returns the middle of some levels; empty if there are none. */
  public static OptionalInt median(int[] levels) {
    if (levels.length == 0) {
      return OptionalInt.empty();
    }
    int[] sorted = levels.clone();
    Arrays.sort(sorted);
    return OptionalInt.of(sorted[sorted.length / 2]);
  }

  /** Returns the speed at a level as a multiple of the speed at the median level. */
  public static double ratio(int level, int medianLevel) {
    return RATIOS[index(level, medianLevel)];
  }

  /** Returns the weight of an engine in weighted rendezvous hashing; 1 at the median level. */
  public static double weight(int level, int medianLevel) {
    return WEIGHTS[index(level, medianLevel)];
  }

  private static int index(int level, int medianLevel) {
    return Math.max(-MAX_DIFFERENCE, Math.min(MAX_DIFFERENCE, level - medianLevel))
        + MAX_DIFFERENCE;
  }
}
