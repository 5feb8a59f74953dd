package org.oriolewell.gateway;

import java.time.Duration;
import java.util.List;
import org.oriolewell.core.eligibility.CallScope;
import org.oriolewell.core.eligibility.EligibilityCheck;
import org.oriolewell.core.eligibility.EligibilityRule;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.upstream.Incarnation;
import org.oriolewell.core.upstream.LeavingRule;
import org.oriolewell.core.upstream.PauseRule;
import org.oriolewell.core.upstream.ResumeTurn;
import org.oriolewell.core.upstream.UpstreamRecords;
import org.oriolewell.core.upstream.UpstreamRecords.Change;
import org.oriolewell.core.upstream.UpstreamStatement;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Keeps what upstreams state about themselves in their answers to this gateway, and says which of
 * them may be sent to. The store and the other gateways have no part in it.
 *
 * <p>Used on the event loop only.
 */
final class UpstreamStatements {
  /** Interval at which ended pauses and records of removed upstreams are dropped. */
  private static final Duration FORGET_INTERVAL = Duration.ofSeconds(2);

  private final EventLoop loop;
  private final ControlPlane control;
  private final GatewayMetrics metrics;
  private final EventLog log;
  private final UpstreamRecords records = UpstreamRecords.create();

  UpstreamStatements(EventLoop loop, ControlPlane control, GatewayMetrics metrics, EventLog log) {
    this.loop = loop;
    this.control = control;
    this.metrics = metrics;
    this.log = log;
  }

  /** Starts the periodic checks. */
  void start() {
    loop.every(FORGET_INTERVAL, () -> records.forget(this::listed, loop.now()));
  }

  private boolean listed(Incarnation incarnation) {
    return control
        .roster()
        .find(incarnation.id())
        .filter(upstream -> Incarnation.of(upstream).equals(incarnation))
        .isPresent();
  }

  /** Records what an answer to a caller's request states about its upstream. */
  void stated(UpstreamInstance upstream, UpstreamStatement statement) {
    if (statement.isPresent()) {
      record(upstream, statement, statement.pause().isPresent() ? turn(upstream) : alone(upstream));
    }
  }

  /** Records what an answer to a dispatcher states, the only gateway that calls the upstream. */
  void statedToDispatcher(UpstreamInstance upstream, UpstreamStatement statement) {
    if (statement.isPresent()) {
      record(upstream, statement, alone(upstream));
    }
  }

  private static ResumeTurn alone(UpstreamInstance upstream) {
    return ResumeTurn.alone(Math.max(1, upstream.slots()));
  }

  private ResumeTurn turn(UpstreamInstance upstream) {
    return ResumeTurn.of(
        Incarnation.of(upstream),
        Math.max(1, upstream.slots()),
        control.self().name(),
        control.peers().stream().map(ControlFeed.Peer::name).toList());
  }

  private void record(UpstreamInstance upstream, UpstreamStatement statement, ResumeTurn turn) {
    Change change = records.stated(upstream, statement, turn, loop.now());
    if (change.leaving()) {
      metrics.upstreamStated("leaving");
      log.event(GatewayEvent.UPSTREAM_LEAVING)
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("zone", upstream.zone())
          .write();
    }
    if (change.paused()) {
      metrics.upstreamStated("pause");
      log.event(GatewayEvent.UPSTREAM_PAUSED)
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("pause_ms", statement.pause().map(Duration::toMillis).orElse(0L))
          .with("turn", turn.position())
          .with("gateways", turn.gateways())
          .write();
    }
    if (!statement.problems().isEmpty()) {
      metrics.upstreamStated("odd");
    }
    if (change.reportProblems()) {
      log.event(GatewayEvent.STATEMENT_ODD)
          .with("upstream", upstream.id())
          .with("problems", statement.problems())
          .write();
    }
  }

  /** Returns the rules that block upstreams that leave or pause. */
  List<EligibilityRule> rules() {
    return List.of(new LeavingRule(records), new PauseRule(records));
  }

  /** Returns whether an upstream neither leaves nor pauses; it may wait for a turn. */
  boolean mayBeUsed(UpstreamInstance upstream) {
    return !records.leaving(upstream) && !records.paused(upstream, loop.now());
  }

  /**
   * Checks a request or call again right before it is written. The turn after a pause that it was
   * counted for by {@link #sent} doesn't block it; if another rule does, the turn is given back.
   */
  boolean stillEligible(
      EligibilityCheck check, UpstreamInstance upstream, CallScope scope, boolean permitHeld) {
    records.unsent(upstream);
    boolean eligible = check.clear(upstream, scope, permitHeld, loop.now()).isPresent();
    if (eligible) {
      records.sent(upstream);
    }
    return eligible;
  }

  /** Counts a request for which an upstream was chosen. */
  void sent(UpstreamInstance upstream) {
    if (records.sent(upstream)) {
      log.event(GatewayEvent.UPSTREAM_RESUMED)
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .write();
    }
  }

  /** Records that a request or a call was not written, since a rule blocks its upstream now. */
  void withdrawn(UpstreamInstance upstream, String request) {
    boolean paused = !records.blockedFor(upstream, loop.now()).isZero();
    String reason = records.leaving(upstream) ? "leaving" : paused ? "paused" : "other";
    metrics.requestWithdrawn(reason);
    log.event(GatewayEvent.REQUEST_WITHDRAWN)
        .with("request", request)
        .with("upstream", upstream.id())
        .with("reason", reason)
        .write();
  }

  /** Returns whether there are upstreams in a list, and all of them leave or pause. */
  boolean allPaused(List<UpstreamInstance> upstreams) {
    return !records.unrestricted()
        && !upstreams.isEmpty()
        && upstreams.stream().noneMatch(this::mayBeUsed);
  }

  /** Sets the metrics of the upstreams that get no requests. */
  void updateMetrics() {
    metrics.setRestrictedUpstreams(
        records.leavingCount(this::listed), records.pausedCount(loop.now()));
  }
}
