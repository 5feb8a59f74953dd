package org.oriolewell.core.capacity;

import java.util.List;

/**
 * What the collector of a region tells the gateways about some upstreams.
 *
 * @param upstreams ids of the upstreams
 * @param tenthsOfWork work of all gateways of the region that each of them has not answered, in
 *     tenths of a request of usual size
 * @param levels level of the speed of each, or {@link #UNKNOWN_LEVEL}
 */
public record CapacitySums(
    List<String> upstreams, List<Integer> tenthsOfWork, List<Integer> levels) {
  /** Stands for a speed that isn't known. */
  public static final int UNKNOWN_LEVEL = 127;

  /** Copies the lists. */
  public CapacitySums {
    upstreams = List.copyOf(upstreams);
    tenthsOfWork = List.copyOf(tenthsOfWork);
    levels = List.copyOf(levels);
    if (upstreams.size() != tenthsOfWork.size() || upstreams.size() != levels.size()) {
      throw new IllegalArgumentException(
          "capacity sums have lists of different lengths; each upstream needs one value");
    }
  }
}
