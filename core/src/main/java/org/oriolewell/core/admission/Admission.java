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
 * Admission in use. A free place goes to the firm with the fewest calls in flight for its share, so
 * a firm that wakes gets each place that becomes free until it has its share; within a firm, to the
 * next workspace by start-time fair queuing; within a workspace, by priority, then deadline. No
 * place stays free while a call waits. A call that can't finish in its remaining time is refused at
 * once.
 *
 * @param <T> type by which the agent identifies calls
 */
public final class Admission<T> implements AdmissionPolicy<T> {
  /**
   * Workspaces remembered without waiting calls; more are forgotten, least recently added first.
   */
  private static final int MAX_IDLE_WORKSPACES = 4096;

  /** Factor on the expected wait, which varies: without it a long queue ends just too late. */
  private static final double WAIT_MARGIN = 1.1;

  private final AdmissionSettings settings;
  private final ConcurrencyLimit limit;
  private final ServiceTimes times = new ServiceTimes();
  private final Map<String, FirmQueue<T>> firms = new HashMap<>();
  private final Map<String, WorkspaceQueue<T>> workspaces = new HashMap<>();
  private final Map<T, Queued<T>> waiting = new HashMap<>();
  private final Map<T, Running> running = new HashMap<>();
  private Shares shares = Shares.equal();
  private double virtualTime;
  private long sequence;

  private Admission(AdmissionSettings settings, ConcurrencyLimit limit) {
    this.settings = settings;
    this.limit = limit;
  }

  /**
   * Returns an admission without calls, with equal shares.
   *
   * @param settings settings
   * @param limit limit of the calls at the upstream
   */
  public static <T> Admission<T> create(AdmissionSettings settings, ConcurrencyLimit limit) {
    return new Admission<>(settings, limit);
  }

  /** Takes the configured shares. Calls that wait keep their order until they are served. */
  public void shares(Shares configured) {
    shares = configured;
    firms.values().forEach(firm -> firm.share = configured.firm(firm.name));
    // A weight counts in its firm's sums while calls wait, so it changes when the queue is empty.
    workspaces.values().stream()
        .filter(WorkspaceQueue::isEmpty)
        .forEach(workspace -> workspace.weight = configured.workspace(workspace.name));
  }

  @Override
  public List<Verdict<T>> offer(OfferedCall<T> work, long now) {
    FirmQueue<T> firm =
        firms.computeIfAbsent(work.firm(), name -> new FirmQueue<>(name, shares.firm(name)));
    WorkspaceQueue<T> workspace = workspace(work.workspace(), firm);
    if (waiting.isEmpty() && running.size() < limit.limit()) {
      if (tooLate(work, now)) {
        return List.of(new Refuse<>(work.call(), Reason.DEADLINE_UNREACHABLE, 0));
      }
      return List.of(startAtOnce(work, firm, workspace, now));
    }
    Queued<T> item = new Queued<>(work, workspace, sequence++);
    double wait = expectedWait(workspace.ahead(item), firm, workspace);
    // While others wait, a call must be likely to finish. With the mean time as the bound, calls
    // that
    // wait until their last chance fill the places and half of them end late.
    double likely = WAIT_MARGIN * wait + times.most(work.operation());
    if (work.deadlineNanos() - now < likely) {
      return List.of(
          new Refuse<>(work.call(), Reason.DEADLINE_UNREACHABLE, (long) Math.max(0, wait)));
    }
    List<Verdict<T>> verdicts = new ArrayList<>(2);
    if (waiting.size() >= settings.maxQueued() && !makeRoom(item, workspace, wait, verdicts)) {
      return verdicts;
    }
    firmAdd(firm, workspace, item);
    dispatch(now, verdicts);
    return verdicts;
  }

  @Override
  public List<Verdict<T>> finished(T call, Ending ending, long now) {
    Running ended = running.remove(call);
    if (ended == null) {
      return List.of();
    }
    FirmQueue<T> firm = firms.get(ended.firm());
    if (firm != null) {
      firm.inFlight--;
    }
    long latency = now - ended.startedAt();
    if (ending == Ending.ANSWERED) {
      times.add(ended.operation(), latency);
      limit.completed(ended.operation(), latency, running.size() + 1);
    } else if (ending == Ending.TIMED_OUT) {
      limit.timedOut();
    }
    List<Verdict<T>> verdicts = new ArrayList<>(2);
    dispatch(now, verdicts);
    return verdicts;
  }

  @Override
  public boolean canceled(T call) {
    Queued<T> item = waiting.remove(call);
    return item != null && item.queue().firm.remove(item.queue(), item);
  }

  @Override
  public List<Verdict<T>> tick(long now) {
    List<Verdict<T>> verdicts = new ArrayList<>();
    List<Queued<T>> late =
        waiting.values().stream().filter(item -> tooLate(item.work(), now)).toList();
    for (Queued<T> item : late) {
      canceled(item.work().call());
      verdicts.add(new Refuse<>(item.work().call(), Reason.DEADLINE_UNREACHABLE, 0));
    }
    dispatch(now, verdicts);
    return verdicts;
  }

  @Override
  public AdmissionLoad load() {
    double rate = limit.limit() / Math.max(1, times.overall());
    long delay = waiting.isEmpty() ? 0 : (long) (waiting.size() / rate);
    return new AdmissionLoad(running.size(), waiting.size(), limit.limit(), delay);
  }

  private WorkspaceQueue<T> workspace(String name, FirmQueue<T> firm) {
    WorkspaceQueue<T> known = workspaces.get(name);
    if (known != null && known.firm == firm) {
      return known;
    }
    if (workspaces.size() >= MAX_IDLE_WORKSPACES) {
      workspaces.values().removeIf(WorkspaceQueue::isEmpty);
    }
    WorkspaceQueue<T> created = new WorkspaceQueue<>(name, firm, shares.workspace(name));
    workspaces.put(name, created);
    return created;
  }

  private boolean tooLate(OfferedCall<T> work, long now) {
    double need = settings.minTimeFactor() * times.of(work.operation());
    return work.deadlineNanos() - now < need;
  }

  /**
   * Returns the expected wait in nanoseconds of a call with some calls of its workspace before it:
   * as long as its workspace's share takes if all who wait keep waiting, but no longer than the
   * whole queue takes.
   */
  private double expectedWait(int ahead, FirmQueue<T> firm, WorkspaceQueue<T> workspace) {
    double rate = limit.limit() / Math.max(1, times.overall());
    double active = firm.queued() > 0 ? 0 : firm.share;
    for (FirmQueue<T> other : firms.values()) {
      active += other.queued() > 0 ? other.share : 0;
    }
    double weights = firm.waitingWeight() + (workspace.isEmpty() ? workspace.weight : 0);
    double share = firm.share / active * workspace.weight / weights;
    return Math.min((ahead + 1) / share, waiting.size() + 1) / rate;
  }

  private Verdict<T> startAtOnce(
      OfferedCall<T> work, FirmQueue<T> firm, WorkspaceQueue<T> workspace, long now) {
    double cost = Math.max(1, times.of(work.operation()));
    firm.tag = Math.max(firm.tag, virtualTime) + cost / firm.share;
    firm.charge(workspace, cost);
    return start(work, firm, now);
  }

  private Verdict<T> start(OfferedCall<T> work, FirmQueue<T> firm, long now) {
    firm.inFlight++;
    running.put(work.call(), new Running(work.firm(), work.operation(), now));
    return new Start<>(work.call());
  }

  private void firmAdd(FirmQueue<T> firm, WorkspaceQueue<T> workspace, Queued<T> item) {
    if (firm.queued() == 0) {
      firm.tag = Math.max(firm.tag, virtualTime);
    }
    firm.add(workspace, item);
    waiting.put(item.work().call(), item);
  }

  private void dispatch(long now, List<Verdict<T>> verdicts) {
    while (running.size() < limit.limit()) {
      FirmQueue<T> firm = nextFirm();
      if (firm == null) {
        return;
      }
      double cost = Math.max(1, times.of(firm.next().work().operation()));
      if (tooLate(firm.next().work(), now)) {
        Queued<T> late = firm.take(0);
        waiting.remove(late.work().call());
        verdicts.add(new Refuse<>(late.work().call(), Reason.DEADLINE_UNREACHABLE, 0));
        continue;
      }
      virtualTime = Math.max(virtualTime, firm.tag);
      firm.tag += cost / firm.share;
      Queued<T> item = firm.take(cost);
      waiting.remove(item.work().call());
      verdicts.add(start(item.work(), firm, now));
    }
  }

  private @Nullable FirmQueue<T> nextFirm() {
    FirmQueue<T> best = null;
    for (FirmQueue<T> firm : firms.values()) {
      if (firm.queued() > 0 && (best == null || before(firm, best))) {
        best = firm;
      }
    }
    return best;
  }

  private static boolean before(FirmQueue<?> one, FirmQueue<?> two) {
    int byInFlight = Double.compare(one.inFlight / one.share, two.inFlight / two.share);
    if (byInFlight != 0) {
      return byInFlight < 0;
    }
    int byTag = Double.compare(one.tag, two.tag);
    return byTag != 0 ? byTag < 0 : one.name.compareTo(two.name) < 0;
  }

  /**
   * Makes room in a full queue: the least urgent call of the workspace with the longest queue for
   * its weight gives way, which may be the new call itself.
   */
  private boolean makeRoom(
      Queued<T> item, WorkspaceQueue<T> own, double wait, List<Verdict<T>> verdicts) {
    WorkspaceQueue<T> longest = own;
    double most = excess(own, 1);
    for (FirmQueue<T> firm : firms.values()) {
      for (WorkspaceQueue<T> other : firm.waiting()) {
        double excess = other == own ? 0 : excess(other, 0);
        if (excess > most) {
          most = excess;
          longest = other;
        }
      }
    }
    Queued<T> least = longest.isEmpty() ? item : longest.least();
    boolean refuseNew = longest == own && item.compareTo(least) >= 0;
    Queued<T> loser = refuseNew ? item : least;
    if (!refuseNew) {
      canceled(loser.work().call());
    }
    verdicts.add(new Refuse<>(loser.work().call(), Reason.OVERLOADED, (long) wait));
    return !refuseNew;
  }

  private static double excess(WorkspaceQueue<?> queue, int more) {
    return (queue.size() + more) / (queue.firm.share * queue.weight);
  }

  private record Running(String firm, String operation, long startedAt) {}
}
