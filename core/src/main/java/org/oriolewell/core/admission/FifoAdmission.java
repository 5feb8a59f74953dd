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
 * Baseline: first come, first served, with a fixed limit and a bounded queue, blind to deadlines
 * and shares.
 *
 * @param <T> type by which the agent identifies calls
 */
public final class FifoAdmission<T> implements AdmissionPolicy<T> {
  private final int limit;
  private final int maxQueued;
  private final Queue<OfferedCall<T>> waiting = new ArrayDeque<>();
  private final Set<T> running = new HashSet<>();

  private FifoAdmission(int limit, int maxQueued) {
    this.limit = limit;
    this.maxQueued = maxQueued;
  }

  /** Returns a baseline with a fixed limit and a bounded queue. */
  public static <T> FifoAdmission<T> create(int limit, int maxQueued) {
    return new FifoAdmission<>(limit, maxQueued);
  }

  /** Returns a baseline that starts each call at once. */
  public static <T> FifoAdmission<T> unlimited() {
    return new FifoAdmission<>(Integer.MAX_VALUE, 0);
  }

  @Override
  public List<Verdict<T>> offer(OfferedCall<T> work, long now) {
    if (running.size() >= limit && waiting.size() >= maxQueued) {
      return List.of(new Refuse<>(work.call(), Reason.OVERLOADED, 0));
    }
    waiting.add(work);
    return dispatch();
  }

  @Override
  public List<Verdict<T>> finished(T call, Ending ending, long now) {
    running.remove(call);
    return dispatch();
  }

  @Override
  public boolean canceled(T call) {
    return waiting.removeIf(work -> work.call().equals(call));
  }

  @Override
  public List<Verdict<T>> tick(long now) {
    return List.of();
  }

  @Override
  public AdmissionLoad load() {
    return new AdmissionLoad(running.size(), waiting.size(), limit, 0);
  }

  private List<Verdict<T>> dispatch() {
    List<Verdict<T>> verdicts = new ArrayList<>(1);
    OfferedCall<T> next;
    while (running.size() < limit && (next = waiting.poll()) != null) {
      running.add(next.call());
      verdicts.add(new Start<>(next.call()));
    }
    return verdicts;
  }
}
