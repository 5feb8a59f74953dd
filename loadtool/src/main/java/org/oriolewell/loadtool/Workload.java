package org.oriolewell.loadtool;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What to send, when and for whom.
 *
 * @param seed seed of the arrivals and the inputs
 * @param duration time in which requests start
 * @param warmup time at the start whose requests are sent but not counted
 * @param traffics kinds of request
 * @param phases times at which rates differ
 */
public record Workload(
    long seed, Duration duration, Duration warmup, List<Traffic> traffics, List<Phase> phases) {

  /** How idempotency keys are made. */
  public enum Keys {
    /** No key. */
    NONE,
    /** A UUID of version 7 with the intended time. */
    UUID,
    /** The intended time in milliseconds since the epoch, a hyphen and a text. */
    TIME
  }

  /**
   * Requests of one pipeline and workspace.
   *
   * @param pipeline pipeline
   * @param workspace workspace
   * @param firm firm for the report; empty if it's left out
   * @param rate mean number of requests a second
   * @param deadline deadline of each request
   * @param priority priority, 0 to 9; negative to send none
   * @param stream whether the answer is streamed
   * @param keys how keys are made
   * @param retries how often a request without an answer is sent again with the same key
   * @param settle whether a request without a known outcome is settled
   * @param inputBytes length of the part of the input that is different for each request
   * @param prefixBytes length of the part of the input that is shared
   * @param prefixGroups number of different shared parts
   * @param direct call to make instead when a stand-in is called directly; null for none
   */
  public record Traffic(
      String pipeline,
      String workspace,
      String firm,
      double rate,
      Duration deadline,
      int priority,
      boolean stream,
      Keys keys,
      int retries,
      boolean settle,
      int inputBytes,
      int prefixBytes,
      int prefixGroups,
      @Nullable Direct direct) {
    /** Returns the name of this traffic in reports and seeds. */
    public String name() {
      return pipeline + "/" + workspace;
    }
  }

  /**
   * A call to a stand-in.
   *
   * @param kind {@code engine}, {@code pool} or {@code service}
   * @param operation operation of a pool or service, or model of an engine
   * @param maxTokens longest answer of an engine
   */
  public record Direct(String kind, String operation, int maxTokens) {}

  /**
   * A time in which the rate of some traffic differs.
   *
   * @param from start, from the start of the run
   * @param to end
   * @param factor factor of the rate
   * @param match pipeline, workspace or firm that it affects; empty for all
   */
  public record Phase(Duration from, Duration to, double factor, String match) {
    boolean covers(Traffic traffic, long offsetNanos) {
      boolean matches =
          match.isEmpty()
              || match.equals(traffic.pipeline())
              || match.equals(traffic.workspace())
              || match.equals(traffic.firm());
      return matches && offsetNanos >= from.toNanos() && offsetNanos < to.toNanos();
    }
  }

  /** Copies the lists. */
  public Workload {
    traffics = List.copyOf(traffics);
    phases = List.copyOf(phases);
  }

  /** Returns the rate of some traffic at a time, in requests a second. */
  double rate(Traffic traffic, long offsetNanos) {
    double rate = traffic.rate();
    for (Phase phase : phases) {
      if (phase.covers(traffic, offsetNanos)) {
        rate *= phase.factor();
      }
    }
    return rate;
  }

  /** Returns a rate that {@link #rate} never exceeds. */
  double peakRate(Traffic traffic) {
    double rate = traffic.rate();
    for (Phase phase : phases) {
      rate *= Math.max(1, phase.factor());
    }
    return rate;
  }

  /** Returns this workload with other lengths, seed and rates, as the command line asks. */
  Workload with(@Nullable Long newSeed, @Nullable Duration newDuration, double scale) {
    return new Workload(
        newSeed == null ? seed : newSeed,
        newDuration == null ? duration : newDuration,
        warmup,
        traffics.stream().map(traffic -> scaled(traffic, scale)).toList(),
        phases);
  }

  private static Traffic scaled(Traffic t, double scale) {
    return new Traffic(
        t.pipeline,
        t.workspace,
        t.firm,
        t.rate * scale,
        t.deadline,
        t.priority,
        t.stream,
        t.keys,
        t.retries,
        t.settle,
        t.inputBytes,
        t.prefixBytes,
        t.prefixGroups,
        t.direct);
  }
}
