package org.oriolewell.loadtool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** What a run has measured. */
final class Tally {
  private static final double NANOS_PER_MILLI = 1e6;

  final Timings sendLag = new Timings();
  private final List<Ended> ended = new ArrayList<>();
  private final Map<Workload.Traffic, Timings> gaps = new ConcurrentHashMap<>();
  private final Map<String, Timings> stages = new ConcurrentHashMap<>();
  private final long countedFromMillis;
  private volatile int unfinished;

  /**
   * Creates an empty tally.
   *
   * @param countedFromMillis time from which requests count, in milliseconds since the epoch
   */
  Tally(long countedFromMillis) {
    this.countedFromMillis = countedFromMillis;
  }

  long countedFromMillis() {
    return countedFromMillis;
  }

  /** Adds a request that counts. */
  void add(Ended request, CallResult last) {
    synchronized (ended) {
      ended.add(request);
    }
    Timings times = gaps.computeIfAbsent(request.traffic(), t -> new Timings());
    last.gapsNanos().forEach(times::add);
    for (CallResult.StageTime stage : last.stages()) {
      stages
          .computeIfAbsent(
              request.traffic().pipeline() + "/" + stage.stage(), name -> new Timings())
          .add((long) (stage.millis() * NANOS_PER_MILLI));
    }
  }

  List<Ended> ended() {
    synchronized (ended) {
      return List.copyOf(ended);
    }
  }

  /** Sets how many requests had not ended when the run stopped waiting. */
  void unfinished(int count) {
    unfinished = count;
  }

  int unfinished() {
    return unfinished;
  }

  /** Returns the times by pipeline and stage, as the entries report them. */
  Map<String, Timings> stages() {
    return new TreeMap<>(stages);
  }

  /** Returns the times between tokens of some traffic. */
  Timings gaps(Workload.Traffic traffic) {
    return gaps.getOrDefault(traffic, new Timings());
  }
}
