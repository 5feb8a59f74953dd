package org.oriolewell.core.capacity;

import java.util.List;

/**
 * What one gateway tells the collector of its region.
 *
 * @param upstreams ids of the upstreams at which it has unanswered work
 * @param tenthsOfWork this work at each of them, in tenths of a request of usual size
 * @param measured ids of the upstreams whose streams it has measured since its last report; an id
 *     appears once for each measurement
 * @param gapMicros gap between events of each measurement in microseconds
 */
public record CapacityReport(
    List<String> upstreams,
    List<Integer> tenthsOfWork,
    List<String> measured,
    List<Integer> gapMicros) {

  /** Copies the lists. */
  public CapacityReport {
    upstreams = List.copyOf(upstreams);
    tenthsOfWork = List.copyOf(tenthsOfWork);
    measured = List.copyOf(measured);
    gapMicros = List.copyOf(gapMicros);
    if (upstreams.size() != tenthsOfWork.size() || measured.size() != gapMicros.size()) {
      throw new IllegalArgumentException(
          "a capacity report has lists of different lengths; each upstream needs one value");
    }
  }
}
