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

/**
 * Adapts core's admission, which has an adaptive concurrency limit and shares by firm and
 * workspace, to the calls of the agent.
 */
final class SharedAdmission implements Admission {
  private final org.oriolewell.core.admission.Admission<Ticket> policy;
  private final LongSupplier nanoTime;
  private final int maxQueued;

  /**
   * Creates an admission without calls, with equal shares.
   *
   * @param minConcurrency smallest limit of concurrent calls that the adaptation sets
   * @param initialConcurrency limit of concurrent calls at the start
   * @param maxConcurrency largest limit of concurrent calls that the adaptation sets
   * @param maxQueued largest number of calls that wait
   * @param nanoTime monotonic clock in nanoseconds
   */
  SharedAdmission(
      int minConcurrency,
      int initialConcurrency,
      int maxConcurrency,
      int maxQueued,
      LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.maxQueued = maxQueued;
    policy =
        org.oriolewell.core.admission.Admission.create(
            new AdmissionSettings(maxQueued, AdmissionSettings.defaults().minTimeFactor()),
            GradientLimit.create(minConcurrency, initialConcurrency, maxConcurrency));
  }

  /** Applies the shares of firms and the weights of workspaces of a configuration. */
  void applyConfiguration(ConfigDocument document) {
    Map<String, Double> firmShares = new HashMap<>();
    Map<String, Double> workspaceWeights = new HashMap<>();
    document.firms().forEach((name, spec) -> firmShares.put(name, spec.share()));
    document.workspaces().forEach((name, spec) -> workspaceWeights.put(name, spec.weight()));
    policy.shares(new Shares(firmShares, workspaceWeights));
  }

  @Override
  public void offer(Ticket ticket) {
    Message.Call call = ticket.call();
    long nowNanos = nanoTime.getAsLong();
    long deadlineNanos = nowNanos + Duration.ofMillis(call.remainingMillis()).toNanos();
    apply(
        policy.offer(
            new OfferedCall<>(
                ticket,
                call.firm(),
                call.workspace(),
                call.priority(),
                call.operation(),
                deadlineNanos),
            nowNanos));
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
                "the queue holds " + maxQueued + " calls; retry later or at another upstream",
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
