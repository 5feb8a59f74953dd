package org.oriolewell.loadtool;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * The arrivals of a workload in order of time: a Poisson process for each traffic. The same seed
 * gives the same arrivals. Phases are made by thinning a process of the peak rate.
 */
final class Arrivals implements Iterator<Arrival> {
  private static final double NANOS_PER_SECOND = 1e9;

  private final PriorityQueue<Source> sources =
      new PriorityQueue<>(Comparator.comparingLong(source -> source.next.offsetNanos()));

  Arrivals(Workload workload) {
    for (Workload.Traffic traffic : workload.traffics()) {
      Source source = new Source(workload, traffic);
      if (source.advance()) {
        sources.add(source);
      }
    }
  }

  @Override
  public boolean hasNext() {
    return !sources.isEmpty();
  }

  @Override
  public Arrival next() {
    Source source = sources.poll();
    if (source == null) {
      throw new NoSuchElementException("the workload has ended");
    }
    Arrival arrival = source.next;
    if (source.advance()) {
      sources.add(source);
    }
    return arrival;
  }

  /** The arrivals of one traffic. */
  private static final class Source {
    final Workload workload;
    final Workload.Traffic traffic;
    final SplittableRandom random;
    final double peak;
    double time;
    long index;
    Arrival next;

    Source(Workload workload, Workload.Traffic traffic) {
      this.workload = workload;
      this.traffic = traffic;
      random = new SplittableRandom(workload.seed() * 31 + traffic.name().hashCode());
      peak = workload.peakRate(traffic);
      next = new Arrival(0, traffic, 0, 0);
    }

    /** Moves to the next arrival; returns false if there is none within the duration. */
    boolean advance() {
      Arrival arrival = generate();
      if (arrival == null) {
        return false;
      }
      next = arrival;
      return true;
    }

    private @Nullable Arrival generate() {
      if (peak == 0) {
        return null;
      }
      while (true) {
        time += -Math.log(1 - random.nextDouble()) / peak * NANOS_PER_SECOND;
        if (time >= workload.duration().toNanos()) {
          return null;
        }
        if (random.nextDouble() * peak < workload.rate(traffic, (long) time)) {
          return new Arrival((long) time, traffic, index++, random.nextLong());
        }
      }
    }
  }
}
