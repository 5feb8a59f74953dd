package org.oriolewell.core.routing;

import org.oriolewell.core.membership.Member;
import org.oriolewell.core.membership.MemberState;

/** What a router has observed of one upstream. */
final class UpstreamStats {
  /** Weight of a new latency sample that is lower than the estimate. */
  private static final double LATENCY_GAIN = 0.1;

  /** Weight of a higher sample: an upstream that becomes slow is noticed within a few answers. */
  private static final double LATENCY_GAIN_UP = 0.3;

  private static final double FAILURE_GAIN = 0.15;

  /** Time in which the failure rate falls to 1/e without calls, so that the upstream is retried. */
  private static final double FAILURE_DECAY_NANOS = 5e9;

  /** A load report older than this counts no longer, since later heartbeats replace it. */
  private static final long REPORT_LIFETIME_NANOS = 1_000_000_000L;

  private static final long EJECTION_MAX_NANOS = 60_000_000_000L;

  /** Smallest share in slow start. */
  private static final double RAMP_FLOOR = 0.05;

  final String name;
  final long hash;
  final int tier;
  String incarnation;
  MemberState state;
  int inFlight;
  int reportedQueue;
  private long reportedAt = Long.MIN_VALUE;
  private long answeredAt;
  private long busySince;
  private double latencyNanos;
  private long latencyAt;
  private double failureRate;
  private long failureAt;
  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntil = Long.MIN_VALUE;
  private long rampStart;

  UpstreamStats(Member member, int tier, long now) {
    this.name = member.name();
    this.hash = Hashing.of(name);
    this.tier = tier;
    this.incarnation = member.incarnation();
    this.state = member.state();
    this.rampStart = now;
  }

  /** Takes the member's state; another incarnation or a new connection starts over slowly. */
  void observe(Member member, long now) {
    boolean returned = state == MemberState.PROPOSED && member.state() == MemberState.UP;
    if (returned || !incarnation.equals(member.incarnation())) {
      restart(member, now);
    }
    state = member.state();
  }

  private void restart(Member member, long now) {
    if (!incarnation.equals(member.incarnation())) {
      latencyNanos = 0;
      ejections = 0;
      ejectedUntil = Long.MIN_VALUE;
    }
    incarnation = member.incarnation();
    reportedAt = Long.MIN_VALUE;
    failureRate = 0;
    consecutiveFailures = 0;
    rampStart = now;
  }

  void reported(int queued, long now) {
    reportedQueue = queued;
    reportedAt = now;
  }

  void started(long now) {
    if (inFlight++ == 0) {
      busySince = now;
    }
  }

  void ended(long now) {
    inFlight = Math.max(0, inFlight - 1);
    answeredAt = now;
  }

  void succeeded(long nanos, long now) {
    consecutiveFailures = 0;
    updateFailureRate(0, now);
    double gain = nanos > latencyNanos ? LATENCY_GAIN_UP : LATENCY_GAIN;
    latencyNanos = latencyNanos == 0 ? nanos : latencyNanos + gain * (nanos - latencyNanos);
    latencyAt = now;
  }

  /** Records a failure. Its time is not a latency sample, since a failure may be fast. */
  void failed(RouterSettings settings, long now) {
    consecutiveFailures++;
    updateFailureRate(1, now);
    if (consecutiveFailures >= settings.failuresToEject() && !ejected(now)) {
      if (now - ejectedUntil > EJECTION_MAX_NANOS) {
        ejections = 0;
      }
      long time = settings.baseEjectionTime().toNanos() << Math.min(ejections, 10);
      ejections++;
      ejectedUntil = now + Math.min(EJECTION_MAX_NANOS, time);
      rampStart = ejectedUntil;
      consecutiveFailures = 0;
    }
  }

  void refused(long now) {
    updateFailureRate(0.5, now);
  }

  private void updateFailureRate(double sample, long now) {
    double current = failureRate(now);
    failureRate = current + FAILURE_GAIN * (sample - current);
    failureAt = now;
  }

  private double failureRate(long now) {
    return failureRate < 1e-3
        ? 0
        : failureRate * Math.exp(-Math.max(0, now - failureAt) / FAILURE_DECAY_NANOS);
  }

  boolean ejected(long now) {
    return now < ejectedUntil;
  }

  boolean known() {
    return latencyNanos > 0;
  }

  double rawLatency() {
    return latencyNanos;
  }

  int load(long now) {
    return inFlight + (now - reportedAt < REPORT_LIFETIME_NANOS ? reportedQueue : 0);
  }

  boolean queueing(long now) {
    return reportedQueue > 0 && now - reportedAt < REPORT_LIFETIME_NANOS;
  }

  /** Returns the share that slow start allows, up to 1. */
  double ramp(RouterSettings settings, long now) {
    double part = (double) (now - rampStart) / settings.slowStartWindow().toNanos();
    return Math.min(1, Math.max(RAMP_FLOOR, part));
  }

  /**
   * Returns the latency estimate; without recent samples it returns to the pool's mean. While calls
   * are in flight and nothing ends, it is at least the time of that silence, so that an upstream
   * that hangs gets fewer calls before it is found dead.
   */
  double latency(double poolMean, RouterSettings settings, long now) {
    double silence = inFlight == 0 ? 0 : now - Math.max(answeredAt, busySince);
    return Math.max(silence, sampled(poolMean, settings, now));
  }

  private double sampled(double poolMean, RouterSettings settings, long now) {
    if (latencyNanos == 0) {
      return poolMean;
    }
    double age = (double) (now - latencyAt) / settings.latencyDecayTime().toNanos();
    double keep = Math.max(0, Math.min(1, 1.5 - age));
    return poolMean + keep * (latencyNanos - poolMean);
  }

  /** Returns the expected cost of one more call. */
  double cost(double poolMean, RouterSettings settings, long now) {
    double penalty = 1 + 10 * failureRate(now);
    return (load(now) + 1) * latency(poolMean, settings, now) * penalty / ramp(settings, now);
  }
}
