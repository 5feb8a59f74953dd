package org.oriolewell.core.placement;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;
import org.oriolewell.core.capacity.CapacitySource;
import org.oriolewell.core.capacity.SpeedLevel;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.routing.Hashing;

/**
 * Chooses among engines by weighted rendezvous hashing with bounded load: an engine is first for a
 * share of the prefixes that is proportional to its weight, and a change of one weight moves only
 * prefixes to or from that engine. With equal weights the choice is that of plain rendezvous
 * hashing.
 */
final class EngineRanking {
  private final List<UpstreamInstance> engines;
  private final double[] speedRatios;
  private final double[] weights;
  private final double[] load;

  private EngineRanking(
      List<UpstreamInstance> engines, double[] speedRatios, double[] weights, double[] load) {
    this.engines = engines;
    this.speedRatios = speedRatios;
    this.weights = weights;
    this.load = load;
  }

  /** Returns the ranking of some engines; one of unknown speed counts as one of median speed. */
  static EngineRanking of(List<UpstreamInstance> engines, CapacitySource capacity, long now) {
    OptionalInt[] levels = new OptionalInt[engines.size()];
    int[] knownLevels = new int[engines.size()];
    int known = 0;
    for (int i = 0; i < levels.length; i++) {
      levels[i] = capacity.level(engines.get(i).id(), now);
      if (levels[i].isPresent()) {
        knownLevels[known++] = levels[i].getAsInt();
      }
    }
    int median = SpeedLevel.median(Arrays.copyOf(knownLevels, known)).orElse(0);
    double[] speedRatios = new double[levels.length];
    double[] weights = new double[levels.length];
    double[] load = new double[levels.length];
    for (int i = 0; i < levels.length; i++) {
      int level = levels[i].orElse(median);
      speedRatios[i] = SpeedLevel.ratio(level, median);
      load[i] = capacity.load(engines.get(i).id(), now);
      weights[i] = SpeedLevel.weight(level, median);
    }
    return new EngineRanking(engines, speedRatios, weights, load);
  }

  /** Returns the first engine for a prefix whose load is within its bound; the first if none is. */
  UpstreamInstance choose(long prefixHash, EngineBound bound, RandomGenerator random) {
    double totalLoad = 0;
    double totalSpeed = 0;
    for (int i = 0; i < load.length; i++) {
      totalLoad += load[i];
      totalSpeed += speedRatios[i];
    }
    double maxPerSpeed = bound.draw(totalLoad / totalSpeed, random);
    int first = 0;
    int firstWithinBound = -1;
    double highestRank = Double.NEGATIVE_INFINITY;
    double highestRankWithinBound = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < load.length; i++) {
      double rank = Hashing.weightedRank(prefixHash, Hashing.of(engines.get(i).id()), weights[i]);
      if (rank > highestRank) {
        first = i;
        highestRank = rank;
      }
      boolean withinBound = load[i] <= maxPerSpeed * speedRatios[i];
      if (withinBound && rank > highestRankWithinBound) {
        firstWithinBound = i;
        highestRankWithinBound = rank;
      }
    }
    return engines.get(firstWithinBound >= 0 ? firstWithinBound : first);
  }
}
