package org.oriolewell.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import org.oriolewell.core.admission.Verdict.Reason;
import org.oriolewell.core.admission.Verdict.Refuse;
import org.oriolewell.core.admission.Verdict.Start;

/**
 * Baseline for comparisons: starts calls in order of arrival with a fixed concurrency limit and a
 * bounded queue, and ignores deadlines and shares.
 *
 * @param <T> type by which the agent identifies calls
 */
public final class FifoAdmission<T> implements AdmissionPolicy<T> {
  private final int concurrencyLimit;
  private final int maxQueued;
  private final Queue<OfferedCall<T>> waitingCalls = new ArrayDeque<>();
  private final Set<T> runningCalls = new HashSet<>();

  private FifoAdmission(int concurrencyLimit, int maxQueued) {
    this.concurrencyLimit = concurrencyLimit;
    this.maxQueued = maxQueued;
  }

  /**
   * Returns a baseline with a fixed concurrency limit and a bounded queue.
   *
   * @param concurrencyLimit largest number of calls at the upstream
   * @param maxQueued largest number of calls that wait
   */
  public static <T> FifoAdmission<T> create(int concurrencyLimit, int maxQueued) {
    return new FifoAdmission<>(concurrencyLimit, maxQueued);
  }

  /** Returns a baseline that starts each call at once, without any limit. */
  public static <T> FifoAdmission<T> unlimited() {
    return new FifoAdmission<>(Integer.MAX_VALUE, 0);
  }

  @Override
  public List<Verdict<T>> offer(OfferedCall<T> offered, long now) {
    if (runningCalls.size() >= concurrencyLimit && waitingCalls.size() >= maxQueued) {
      return List.of(new Refuse<>(offered.call(), Reason.OVERLOADED, 0));
    }
    waitingCalls.add(offered);
    return dispatch();
  }

  @Override
  public List<Verdict<T>> finished(T call, Ending ending, long now) {
    runningCalls.remove(call);
    return dispatch();
  }

  @Override
  public boolean canceled(T call) {
    return waitingCalls.removeIf(offered -> offered.call().equals(call));
  }

  @Override
  public List<Verdict<T>> tick(long now) {
    return List.of();
  }

  @Override
  public AdmissionLoad load() {
    return new AdmissionLoad(runningCalls.size(), waitingCalls.size(), concurrencyLimit, 0);
  }

  private List<Verdict<T>> dispatch() {
    List<Verdict<T>> verdicts = new ArrayList<>(1);
    OfferedCall<T> nextCall;
    while (runningCalls.size() < concurrencyLimit && (nextCall = waitingCalls.poll()) != null) {
      runningCalls.add(nextCall.call());
      verdicts.add(new Start<>(nextCall.call()));
    }
    return verdicts;
  }
}
