package org.oriolewell.core.routing;

import org.oriolewell.core.membership.Member;
import org.oriolewell.core.membership.MemberState;

/** Load, latency and failures of one upstream as a router observed them. */
final class UpstreamStats {
  /** Weight of a latency sample that is lower than the estimate. */
  private static final double LOWER_LATENCY_WEIGHT = 0.1;

  /**
   * Weight of a latency sample that is higher than the estimate, so that a slow upstream is noticed
   * within a few answers.
   */
  private static final double HIGHER_LATENCY_WEIGHT = 0.3;

  /** Weight of a call's result in the failure rate. */
  private static final double FAILURE_WEIGHT = 0.15;

  /**
   * Time in nanoseconds in which the failure rate falls to 1/e without calls, so that the upstream
   * is tried again.
   */
  private static final double FAILURE_DECAY_NANOS = 5e9;

  /**
   * Age in nanoseconds above which a load report is ignored, since each heartbeat brings a new one.
   */
  private static final long REPORT_LIFETIME_NANOS = 1_000_000_000L;

  /** Longest time for which an upstream is ejected, in nanoseconds. */
  private static final long MAX_EJECTION_NANOS = 60_000_000_000L;

  /** Smallest share of the calls that slow start allows. */
  private static final double MIN_SLOW_START_SHARE = 0.05;

  final String name;
  final long nameHash;
  final int tier;
  String incarnation;
  MemberState state;
  int inFlight;
  int reportedQueue;
  private long reportedAt = Long.MIN_VALUE;
  private long lastEndedAt;

  /** Monotonic time at which the number of calls in flight last rose from 0. */
  private long busySince;

  private double latencyNanos;
  private long latencyUpdatedAt;
  private double failureRate;
  private long failureRateUpdatedAt;
  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntil = Long.MIN_VALUE;
  private long slowStartAt;

  UpstreamStats(Member member, int tier, long now) {
    this.name = member.name();
    this.nameHash = Hashing.of(name);
    this.tier = tier;
    this.incarnation = member.incarnation();
    this.state = member.state();
    this.slowStartAt = now;
  }

  /**
   * Records a member's state. Slow start begins again for another incarnation or a new connection.
   */
  void observe(Member member, long now) {
    boolean hasReturned = state == MemberState.PROPOSED && member.state() == MemberState.UP;
    if (hasReturned || !incarnation.equals(member.incarnation())) {
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
    slowStartAt = now;
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

  /** Records that a call ended, with whatever result. */
  void ended(long now) {
    inFlight = Math.max(0, inFlight - 1);
    lastEndedAt = now;
  }

  /** Records the latency of an answered call in nanoseconds. */
  void succeeded(long latencySample, long now) {
    consecutiveFailures = 0;
    updateFailureRate(0, now);
    double sampleWeight =
        latencySample > latencyNanos ? HIGHER_LATENCY_WEIGHT : LOWER_LATENCY_WEIGHT;
    latencyNanos =
        latencyNanos == 0
            ? latencySample
            : latencyNanos + sampleWeight * (latencySample - latencyNanos);
    latencyUpdatedAt = now;
  }

  /** Records a failed call. Its duration is not a latency sample, since a call may fail fast. */
  void failed(RouterSettings settings, long now) {
    consecutiveFailures++;
    updateFailureRate(1, now);
    if (consecutiveFailures >= settings.failuresToEject() && !ejected(now)) {
      if (now - ejectedUntil > MAX_EJECTION_NANOS) {
        ejections = 0;
      }
      long ejectionNanos = settings.baseEjectionTime().toNanos() << Math.min(ejections, 10);
      ejections++;
      ejectedUntil = now + Math.min(MAX_EJECTION_NANOS, ejectionNanos);
      slowStartAt = ejectedUntil;
      consecutiveFailures = 0;
    }
  }

  /** Records a refusal by the agent, which counts as half a failure. */
  void refused(long now) {
    updateFailureRate(0.5, now);
  }

  private void updateFailureRate(double sample, long now) {
    double decayedRate = failureRate(now);
    failureRate = decayedRate + FAILURE_WEIGHT * (sample - decayedRate);
    failureRateUpdatedAt = now;
  }

  private double failureRate(long now) {
    return failureRate < 1e-3
        ? 0
        : failureRate * Math.exp(-Math.max(0, now - failureRateUpdatedAt) / FAILURE_DECAY_NANOS);
  }

  /** Returns whether the upstream gets no calls because of consecutive failures. */
  boolean ejected(long now) {
    return now < ejectedUntil;
  }

  boolean hasLatency() {
    return latencyNanos > 0;
  }

  double measuredLatency() {
    return latencyNanos;
  }

  /** Returns this process's calls in flight plus the queue length of a recent load report. */
  int load(long now) {
    return inFlight + (now - reportedAt < REPORT_LIFETIME_NANOS ? reportedQueue : 0);
  }

  /** Returns whether a recent load report showed waiting calls. */
  boolean hasReportedQueue(long now) {
    return reportedQueue > 0 && now - reportedAt < REPORT_LIFETIME_NANOS;
  }

  /** Returns the share of the calls that slow start allows, up to 1. */
  double slowStartShare(RouterSettings settings, long now) {
    double elapsedShare = (double) (now - slowStartAt) / settings.slowStartWindow().toNanos();
    return Math.min(1, Math.max(MIN_SLOW_START_SHARE, elapsedShare));
  }

  /**
   * Returns the latency estimate in nanoseconds; without recent samples it returns to the pool's
   * mean. While calls are in flight and none ends, it is at least the time since the last one
   * ended, so that an upstream that hangs gets fewer calls before it is considered dead.
   */
  double latency(double poolMeanLatency, RouterSettings settings, long now) {
    double nanosWithoutAnswer = inFlight == 0 ? 0 : now - Math.max(lastEndedAt, busySince);
    return Math.max(nanosWithoutAnswer, decayedLatency(poolMeanLatency, settings, now));
  }

  /** Returns the measured latency, which returns to the pool's mean as the last sample ages. */
  private double decayedLatency(double poolMeanLatency, RouterSettings settings, long now) {
    if (latencyNanos == 0) {
      return poolMeanLatency;
    }
    double relativeAge = (double) (now - latencyUpdatedAt) / settings.latencyDecayTime().toNanos();
    double estimateWeight = Math.max(0, Math.min(1, 1.5 - relativeAge));
    return poolMeanLatency + estimateWeight * (latencyNanos - poolMeanLatency);
  }

  /**
   * Returns the expected cost of one more call: the latency estimate times the load, raised by
   * failures and slow start.
   */
  double cost(double poolMeanLatency, RouterSettings settings, long now) {
    double failurePenalty = 1 + 10 * failureRate(now);
    return (load(now) + 1)
        * latency(poolMeanLatency, settings, now)
        * failurePenalty
        / slowStartShare(settings, now);
  }
}
