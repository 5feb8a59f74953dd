package org.oriolewell.core.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Calls that a shard's owner knows: recorded, waiting for permission, and running. */
final class CallTable {
  /** Calls with one identity that have not started. The first may run, the others wait for it. */
  static final class Pending {
    final Deque<ShardEvent.Arrived> calls = new ArrayDeque<>();
    boolean asked;
    boolean granted;

    ShardEvent.Arrived first() {
      return calls.element();
    }
  }

  private final Map<CallId, CallRecord> recorded = new HashMap<>();
  private final Map<CallId, Pending> pending = new LinkedHashMap<>();
  private final Map<CallId, List<Long>> running = new HashMap<>();
  private final Map<Long, CallId> identities = new HashMap<>();
  private final Set<CallId> segmented = new HashSet<>();

  @Nullable CallRecord recorded(CallId id) {
    return recorded.get(id);
  }

  @Nullable Pending pending(CallId id) {
    return pending.get(id);
  }

  @Nullable CallId identity(long call) {
    return identities.get(call);
  }

  List<Pending> allPending() {
    return List.copyOf(pending.values());
  }

  boolean isIdle() {
    return pending.isEmpty() && running.isEmpty();
  }

  /** Adds a call that waits to start; returns the calls with its identity. */
  Pending addPending(ShardEvent.Arrived arrived) {
    Pending waiting = pending.computeIfAbsent(arrived.id(), id -> new Pending());
    waiting.calls.add(arrived);
    identities.put(arrived.call(), arrived.id());
    return waiting;
  }

  /** Removes a waiting call; returns whether it was there. */
  boolean removePending(long call) {
    CallId id = identities.get(call);
    Pending waiting = id == null ? null : pending.get(id);
    if (id == null || waiting == null) {
      return false;
    }
    boolean wasFirst = waiting.first().call() == call;
    if (!waiting.calls.removeIf(arrived -> arrived.call() == call)) {
      return false;
    }
    identities.remove(call);
    if (wasFirst) {
      waiting.asked = false;
      waiting.granted = false;
    }
    if (waiting.calls.isEmpty()) {
      pending.remove(id);
    }
    return true;
  }

  /** Removes the waiting calls of an identity and returns them. */
  List<ShardEvent.Arrived> takePending(CallId id) {
    Pending waiting = pending.remove(id);
    if (waiting == null) {
      return List.of();
    }
    waiting.calls.forEach(arrived -> identities.remove(arrived.call()));
    return List.copyOf(waiting.calls);
  }

  /** Removes all waiting calls and returns them. */
  List<ShardEvent.Arrived> takeAllPending() {
    List<ShardEvent.Arrived> taken = new ArrayList<>();
    pending.values().forEach(waiting -> taken.addAll(waiting.calls));
    taken.forEach(arrived -> identities.remove(arrived.call()));
    pending.clear();
    return taken;
  }

  /** Marks the first waiting call of an identity as started; the others wait for its outcome. */
  void start(Pending waiting) {
    ShardEvent.Arrived first = waiting.first();
    List<Long> waiters = new ArrayList<>();
    waiting.calls.forEach(arrived -> waiters.add(arrived.call()));
    pending.remove(first.id());
    running.put(first.id(), waiters);
    recorded.put(
        first.id(),
        new CallRecord(CallRecord.State.STARTED, first.keyMillis(), first.fingerprint(), null));
  }

  /** Lets a call wait for the outcome of a running call with the same identity, if there is one. */
  boolean join(ShardEvent.Arrived arrived) {
    List<Long> waiters = running.get(arrived.id());
    if (waiters == null) {
      return false;
    }
    waiters.add(arrived.call());
    identities.put(arrived.call(), arrived.id());
    return true;
  }

  /** Removes a call that waits for a running one, but never the one that runs. */
  void leave(long call) {
    CallId id = identities.get(call);
    List<Long> waiters = id == null ? null : running.get(id);
    if (waiters != null && waiters.get(0) != call && waiters.remove(call)) {
      identities.remove(call);
    }
  }

  /** Ends a running call and returns all calls that wait for its outcome. */
  List<Long> finish(CallId id) {
    List<Long> waiters = running.remove(id);
    if (waiters == null) {
      return List.of();
    }
    waiters.forEach(identities::remove);
    return waiters;
  }

  void record(CallId id, CallRecord call) {
    recorded.put(id, call);
  }

  void forget(CallId id) {
    recorded.remove(id);
    segmented.remove(id);
  }

  /** Forgets everything recorded. Running calls stay, so that their dialers are answered. */
  void forgetAll() {
    recorded.clear();
    segmented.clear();
  }

  /** Forgets finished calls whose keys are older than the low-water mark. */
  void trim(long lowWaterMillis) {
    recorded
        .entrySet()
        .removeIf(
            entry ->
                entry.getValue().keyMillis() < lowWaterMillis
                    && entry.getValue().state() != CallRecord.State.STARTED);
    segmented.retainAll(recorded.keySet());
  }

  void markSegmented(Set<CallId> ids) {
    ids.stream().filter(recorded::containsKey).forEach(segmented::add);
  }

  /** Returns the recorded calls that no segment holds, without outputs over a size. */
  Map<CallId, CallRecord> unsegmented(int maxOutputBytes) {
    Map<CallId, CallRecord> calls = new HashMap<>();
    recorded.forEach(
        (id, call) -> {
          if (!segmented.contains(id)) {
            calls.put(id, withoutLargeOutput(call, maxOutputBytes));
          }
        });
    return calls;
  }

  /** Returns the finished calls that no segment holds. */
  Map<CallId, CallRecord> finishedUnsegmented(int maxOutputBytes) {
    Map<CallId, CallRecord> calls = unsegmented(maxOutputBytes);
    calls.values().removeIf(call -> call.state() == CallRecord.State.STARTED);
    return calls;
  }

  private static CallRecord withoutLargeOutput(CallRecord call, int maxOutputBytes) {
    byte[] output = call.output();
    return output == null || output.length <= maxOutputBytes ? call : call.in(call.state());
  }
}
