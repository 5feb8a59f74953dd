package org.oriolewell.agent;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.oriolewell.core.admission.AdmissionLoad;
import org.oriolewell.core.admission.AdmissionSettings;
import org.oriolewell.core.admission.Ending;
import org.oriolewell.core.admission.GradientLimit;
import org.oriolewell.core.admission.OfferedCall;
import org.oriolewell.core.admission.Shares;
import org.oriolewell.core.admission.Verdict;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/** Admission with an adaptive limit and shares by firm and workspace, as core decides it. */
final class SharedAdmission implements Admission {
  private final org.oriolewell.core.admission.Admission<Ticket> policy;
  private final LongSupplier nanoTime;
  private final int queueSize;

  /**
   * Creates an admission without calls.
   *
   * @param limit limit at the start; the lowest and highest limits follow
   * @param nanoTime monotonic time in nanoseconds
   */
  SharedAdmission(int floor, int limit, int ceiling, int queueSize, LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.queueSize = queueSize;
    policy =
        org.oriolewell.core.admission.Admission.create(
            new AdmissionSettings(queueSize, AdmissionSettings.defaults().minTimeFactor()),
            GradientLimit.create(floor, limit, ceiling));
  }

  /** Takes the shares of a configuration. */
  void configure(ConfigDocument document) {
    Map<String, Double> firms = new HashMap<>();
    Map<String, Double> workspaces = new HashMap<>();
    document.firms().forEach((name, spec) -> firms.put(name, spec.share()));
    document.workspaces().forEach((name, spec) -> workspaces.put(name, spec.weight()));
    policy.shares(new Shares(firms, workspaces));
  }

  @Override
  public void offer(Ticket ticket) {
    Message.Call call = ticket.call();
    long now = nanoTime.getAsLong();
    long deadline = now + Duration.ofMillis(call.remainingMillis()).toNanos();
    apply(
        policy.offer(
            new OfferedCall<>(
                ticket, call.firm(), call.workspace(), call.priority(), call.operation(), deadline),
            now));
  }

  @Override
  public void withdraw(Ticket ticket) {
    policy.canceled(ticket);
  }

  @Override
  public void finished(Ticket ticket, Ending ending) {
    apply(policy.finished(ticket, ending, nanoTime.getAsLong()));
  }

  @Override
  public void tick() {
    apply(policy.tick(nanoTime.getAsLong()));
  }

  private void apply(List<Verdict<Ticket>> verdicts) {
    verdicts.forEach(this::apply);
  }

  private void apply(Verdict<Ticket> verdict) {
    if (verdict instanceof Verdict.Refuse<Ticket> refuse) {
      Duration retryAfter = Duration.ofNanos(refuse.retryAfterNanos());
      if (refuse.reason() == Verdict.Reason.OVERLOADED) {
        refuse
            .call()
            .refused(
                RefusalKind.OVERLOADED,
                "the queue holds " + queueSize + " calls; retry later or at another upstream",
                retryAfter);
      } else {
        refuse
            .call()
            .refused(
                RefusalKind.DEADLINE_UNREACHABLE,
                "the call cannot finish in its remaining time; allow more or retry later",
                retryAfter);
      }
    } else {
      verdict.call().admitted();
    }
  }

  @Override
  public Message.Load load(boolean draining) {
    AdmissionLoad load = policy.load();
    return new Message.Load(
        load.inFlight(), load.queued(), load.limit(), load.queueDelayNanos() / 1000, draining);
  }
}
