package org.oriolewell.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.admission.Verdict.Reason;
import org.oriolewell.core.admission.Verdict.Refuse;
import org.oriolewell.core.admission.Verdict.Start;

/**
 * Admission control of one upstream: starts calls up to a concurrency limit and queues or refuses
 * the others. A slot that becomes free goes to the firm with the fewest calls in flight relative to
 * its share, so a firm whose calls arrive while others fill the upstream gets each free slot until
 * it has its share; within a firm, to the next workspace by start-time fair queuing; within a
 * workspace, to the call with the highest priority, then the earliest deadline. No slot stays free
 * while a call waits. A call that can't finish in its remaining time is refused at once.
 *
 * @param <T> type by which the agent identifies calls
 */
public final class Admission<T> implements AdmissionPolicy<T> {
  /** Number of known workspaces at which those without waiting calls are forgotten. */
  private static final int MAX_IDLE_WORKSPACES = 4096;

  /**
   * Factor on the expected wait. Actual waits vary; without a margin the calls of a long queue
   * finish just after their deadlines.
   */
  private static final double WAIT_MARGIN = 1.1;

  private final AdmissionSettings settings;
  private final ConcurrencyLimit limit;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final Map<String, FirmQueue<T>> firms = new HashMap<>();
  private final Map<String, WorkspaceQueue<T>> workspaces = new HashMap<>();
  private final Map<T, QueuedCall<T>> waitingCalls = new HashMap<>();
  private final Map<T, Running> runningCalls = new HashMap<>();
  private Shares shares = Shares.equal();
  private double virtualTime;
  private long nextSequence;

  private Admission(AdmissionSettings settings, ConcurrencyLimit limit) {
    this.settings = settings;
    this.limit = limit;
  }

  /**
   * Returns an admission without calls, with equal shares.
   *
   * @param settings limits of the queue and of the remaining time
   * @param limit limit of the calls in flight at the upstream
   */
  public static <T> Admission<T> create(AdmissionSettings settings, ConcurrencyLimit limit) {
    return new Admission<>(settings, limit);
  }

  /** Applies configured shares. Waiting calls keep their order until they are served. */
  public void shares(Shares configured) {
    shares = configured;
    firms.values().forEach(firm -> firm.share = configured.firm(firm.name));
    // The sums of a firm's queue include the weight while calls wait, so a workspace's weight
    // changes only while none of its calls waits.
    workspaces.values().stream()
        .filter(WorkspaceQueue::isEmpty)
        .forEach(workspace -> workspace.weight = configured.workspace(workspace.name));
  }

  @Override
  public List<Verdict<T>> offer(OfferedCall<T> offered, long now) {
    FirmQueue<T> firm =
        firms.computeIfAbsent(offered.firm(), name -> new FirmQueue<>(name, shares.firm(name)));
    WorkspaceQueue<T> workspace = workspaceQueue(offered.workspace(), firm);
    if (waitingCalls.isEmpty() && runningCalls.size() < limit.limit()) {
      if (cannotFinish(offered, now)) {
        return List.of(new Refuse<>(offered.call(), Reason.DEADLINE_UNREACHABLE, 0));
      }
      return List.of(startWithoutWaiting(offered, firm, workspace, now));
    }
    QueuedCall<T> queuedCall = new QueuedCall<>(offered, workspace, nextSequence++);
    double waitNanos = expectedWaitNanos(workspace.countAhead(queuedCall), firm, workspace);
    // While others wait, a call must be likely to finish. With the mean time as the bound, calls
    // that wait until they can only just finish fill the slots, and half of them finish late.
    double neededNanos = WAIT_MARGIN * waitNanos + serviceTimes.likelyMaximum(offered.operation());
    if (offered.deadlineNanos() - now < neededNanos) {
      return List.of(
          new Refuse<>(offered.call(), Reason.DEADLINE_UNREACHABLE, (long) Math.max(0, waitNanos)));
    }
    List<Verdict<T>> verdicts = new ArrayList<>(2);
    if (waitingCalls.size() >= settings.maxQueued()
        && !makeRoom(queuedCall, workspace, waitNanos, verdicts)) {
      return verdicts;
    }
    enqueue(firm, workspace, queuedCall);
    dispatch(now, verdicts);
    return verdicts;
  }

  @Override
  public List<Verdict<T>> finished(T call, Ending ending, long now) {
    Running endedCall = runningCalls.remove(call);
    if (endedCall == null) {
      return List.of();
    }
    FirmQueue<T> firm = firms.get(endedCall.firm());
    if (firm != null) {
      firm.inFlight--;
    }
    long latencyNanos = now - endedCall.startedNanos();
    if (ending == Ending.ANSWERED) {
      serviceTimes.add(endedCall.operation(), latencyNanos);
      limit.completed(endedCall.operation(), latencyNanos, runningCalls.size() + 1);
    } else if (ending == Ending.TIMED_OUT) {
      limit.timedOut();
    }
    List<Verdict<T>> verdicts = new ArrayList<>(2);
    dispatch(now, verdicts);
    return verdicts;
  }

  @Override
  public boolean canceled(T call) {
    QueuedCall<T> queuedCall = waitingCalls.remove(call);
    return queuedCall != null && queuedCall.queue().firm.remove(queuedCall.queue(), queuedCall);
  }

  @Override
  public List<Verdict<T>> tick(long now) {
    List<Verdict<T>> verdicts = new ArrayList<>();
    List<QueuedCall<T>> lateCalls =
        waitingCalls.values().stream()
            .filter(queuedCall -> cannotFinish(queuedCall.offered(), now))
            .toList();
    for (QueuedCall<T> queuedCall : lateCalls) {
      canceled(queuedCall.offered().call());
      verdicts.add(new Refuse<>(queuedCall.offered().call(), Reason.DEADLINE_UNREACHABLE, 0));
    }
    dispatch(now, verdicts);
    return verdicts;
  }

  @Override
  public AdmissionLoad load() {
    double callsPerNano = limit.limit() / Math.max(1, serviceTimes.expectedOverall());
    long delayNanos = waitingCalls.isEmpty() ? 0 : (long) (waitingCalls.size() / callsPerNano);
    return new AdmissionLoad(runningCalls.size(), waitingCalls.size(), limit.limit(), delayNanos);
  }

  private WorkspaceQueue<T> workspaceQueue(String name, FirmQueue<T> firm) {
    WorkspaceQueue<T> existing = workspaces.get(name);
    if (existing != null && existing.firm == firm) {
      return existing;
    }
    if (workspaces.size() >= MAX_IDLE_WORKSPACES) {
      workspaces.values().removeIf(WorkspaceQueue::isEmpty);
    }
    WorkspaceQueue<T> created = new WorkspaceQueue<>(name, firm, shares.workspace(name));
    workspaces.put(name, created);
    return created;
  }

  /** Returns whether a call's remaining time is too short for it to finish. */
  private boolean cannotFinish(OfferedCall<T> offered, long now) {
    double neededNanos = settings.minTimeFactor() * serviceTimes.expected(offered.operation());
    return offered.deadlineNanos() - now < neededNanos;
  }

  /**
   * Returns the expected wait of a new call in nanoseconds, given the number of calls of its
   * workspace that are served before it: the time in which the workspace's share of the upstream
   * serves them if all waiting queues stay non-empty, but no longer than the whole queue takes.
   */
  private double expectedWaitNanos(int callsAhead, FirmQueue<T> firm, WorkspaceQueue<T> workspace) {
    double callsPerNano = limit.limit() / Math.max(1, serviceTimes.expectedOverall());
    double activeShares = firm.queued() > 0 ? 0 : firm.share;
    for (FirmQueue<T> other : firms.values()) {
      activeShares += other.queued() > 0 ? other.share : 0;
    }
    double waitingWeights = firm.waitingWeight() + (workspace.isEmpty() ? workspace.weight : 0);
    double share = firm.share / activeShares * workspace.weight / waitingWeights;
    return Math.min((callsAhead + 1) / share, waitingCalls.size() + 1) / callsPerNano;
  }

  private Verdict<T> startWithoutWaiting(
      OfferedCall<T> offered, FirmQueue<T> firm, WorkspaceQueue<T> workspace, long now) {
    double costNanos = Math.max(1, serviceTimes.expected(offered.operation()));
    firm.startTag = Math.max(firm.startTag, virtualTime) + costNanos / firm.share;
    firm.charge(workspace, costNanos);
    return start(offered, firm, now);
  }

  private Verdict<T> start(OfferedCall<T> offered, FirmQueue<T> firm, long now) {
    firm.inFlight++;
    runningCalls.put(offered.call(), new Running(offered.firm(), offered.operation(), now));
    return new Start<>(offered.call());
  }

  private void enqueue(FirmQueue<T> firm, WorkspaceQueue<T> workspace, QueuedCall<T> queuedCall) {
    if (firm.queued() == 0) {
      firm.startTag = Math.max(firm.startTag, virtualTime);
    }
    firm.add(workspace, queuedCall);
    waitingCalls.put(queuedCall.offered().call(), queuedCall);
  }

  private void dispatch(long now, List<Verdict<T>> verdicts) {
    while (runningCalls.size() < limit.limit()) {
      FirmQueue<T> firm = nextFirm();
      if (firm == null) {
        return;
      }
      double costNanos = Math.max(1, serviceTimes.expected(firm.next().offered().operation()));
      if (cannotFinish(firm.next().offered(), now)) {
        QueuedCall<T> lateCall = firm.take(0);
        waitingCalls.remove(lateCall.offered().call());
        verdicts.add(new Refuse<>(lateCall.offered().call(), Reason.DEADLINE_UNREACHABLE, 0));
        continue;
      }
      virtualTime = Math.max(virtualTime, firm.startTag);
      firm.startTag += costNanos / firm.share;
      QueuedCall<T> queuedCall = firm.take(costNanos);
      waitingCalls.remove(queuedCall.offered().call());
      verdicts.add(start(queuedCall.offered(), firm, now));
    }
  }

  private @Nullable FirmQueue<T> nextFirm() {
    FirmQueue<T> best = null;
    for (FirmQueue<T> firm : firms.values()) {
      if (firm.queued() > 0 && (best == null || servedBefore(firm, best))) {
        best = firm;
      }
    }
    return best;
  }

  /** Returns whether the next free slot goes to the first firm rather than to the second. */
  private static boolean servedBefore(FirmQueue<?> first, FirmQueue<?> second) {
    int byInFlight = Double.compare(first.inFlight / first.share, second.inFlight / second.share);
    if (byInFlight != 0) {
      return byInFlight < 0;
    }
    int byStartTag = Double.compare(first.startTag, second.startTag);
    return byStartTag != 0 ? byStartTag < 0 : first.name.compareTo(second.name) < 0;
  }

  /**
   * Makes room in a full queue by refusing the least urgent call of the workspace with the longest
   * queue relative to its weight, which may be the new call itself. Returns whether the new call
   * may be queued.
   */
  private boolean makeRoom(
      QueuedCall<T> newCall,
      WorkspaceQueue<T> ownQueue,
      double waitNanos,
      List<Verdict<T>> verdicts) {
    WorkspaceQueue<T> longestQueue = ownQueue;
    double largestRelativeLength = relativeLength(ownQueue, 1);
    for (FirmQueue<T> firm : firms.values()) {
      for (WorkspaceQueue<T> other : firm.waitingWorkspaces()) {
        double relativeLength = other == ownQueue ? 0 : relativeLength(other, 0);
        if (relativeLength > largestRelativeLength) {
          largestRelativeLength = relativeLength;
          longestQueue = other;
        }
      }
    }
    QueuedCall<T> leastUrgent = longestQueue.isEmpty() ? newCall : longestQueue.leastUrgent();
    boolean refuseNew = longestQueue == ownQueue && newCall.compareTo(leastUrgent) >= 0;
    QueuedCall<T> refusedCall = refuseNew ? newCall : leastUrgent;
    if (!refuseNew) {
      canceled(refusedCall.offered().call());
    }
    verdicts.add(new Refuse<>(refusedCall.offered().call(), Reason.OVERLOADED, (long) waitNanos));
    return !refuseNew;
  }

  /** Returns the length of a workspace's queue relative to its share of the upstream. */
  private static double relativeLength(WorkspaceQueue<?> queue, int additionalCalls) {
    return (queue.size() + additionalCalls) / (queue.firm.share * queue.weight);
  }

  /** A call at the upstream; {@code startedNanos} is the monotonic time of its start. */
  private record Running(String firm, String operation, long startedNanos) {}
}
