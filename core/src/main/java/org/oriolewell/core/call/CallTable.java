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

/** The calls of a shard in its owner's memory: recorded, waiting to start, and running. */
final class CallTable {
  /** Calls with the same identity that have not started. Only the first of them may run. */
  static final class PendingCalls {
    final Deque<ShardEvent.Arrived> arrivals = new ArrayDeque<>();
    boolean startRequested;
    boolean startGranted;

    ShardEvent.Arrived firstArrival() {
      return arrivals.element();
    }
  }

  private final Map<CallId, CallRecord> recordsById = new HashMap<>();
  private final Map<CallId, PendingCalls> pendingById = new LinkedHashMap<>();
  private final Map<CallId, List<Long>> waitersByRunningId = new HashMap<>();
  private final Map<Long, CallId> idsByCallNumber = new HashMap<>();
  private final Set<CallId> idsInSegments = new HashSet<>();

  @Nullable CallRecord recordOf(CallId id) {
    return recordsById.get(id);
  }

  @Nullable PendingCalls pendingOf(CallId id) {
    return pendingById.get(id);
  }

  @Nullable CallId idOf(long callNumber) {
    return idsByCallNumber.get(callNumber);
  }

  List<PendingCalls> allPending() {
    return List.copyOf(pendingById.values());
  }

  boolean isIdle() {
    return pendingById.isEmpty() && waitersByRunningId.isEmpty();
  }

  /** Adds a call that waits to start; returns all waiting calls with the same identity. */
  PendingCalls addPending(ShardEvent.Arrived arrived) {
    PendingCalls pendingCalls = pendingById.computeIfAbsent(arrived.id(), id -> new PendingCalls());
    pendingCalls.arrivals.add(arrived);
    idsByCallNumber.put(arrived.callNumber(), arrived.id());
    return pendingCalls;
  }

  /** Removes a call that waits to start; returns whether there was one with this number. */
  boolean removePending(long callNumber) {
    CallId id = idsByCallNumber.get(callNumber);
    PendingCalls pendingCalls = id == null ? null : pendingById.get(id);
    if (id == null || pendingCalls == null) {
      return false;
    }
    boolean wasFirstArrival = pendingCalls.firstArrival().callNumber() == callNumber;
    if (!pendingCalls.arrivals.removeIf(arrived -> arrived.callNumber() == callNumber)) {
      return false;
    }
    idsByCallNumber.remove(callNumber);
    if (wasFirstArrival) {
      pendingCalls.startRequested = false;
      pendingCalls.startGranted = false;
    }
    if (pendingCalls.arrivals.isEmpty()) {
      pendingById.remove(id);
    }
    return true;
  }

  /** Removes and returns the calls with one identity that wait to start. */
  List<ShardEvent.Arrived> takePending(CallId id) {
    PendingCalls pendingCalls = pendingById.remove(id);
    if (pendingCalls == null) {
      return List.of();
    }
    pendingCalls.arrivals.forEach(arrived -> idsByCallNumber.remove(arrived.callNumber()));
    return List.copyOf(pendingCalls.arrivals);
  }

  /** Removes and returns all calls that wait to start. */
  List<ShardEvent.Arrived> takeAllPending() {
    List<ShardEvent.Arrived> takenCalls = new ArrayList<>();
    pendingById.values().forEach(pendingCalls -> takenCalls.addAll(pendingCalls.arrivals));
    takenCalls.forEach(arrived -> idsByCallNumber.remove(arrived.callNumber()));
    pendingById.clear();
    return takenCalls;
  }

  /** Marks the first of several calls as started; the others wait for its outcome. */
  void markStarted(PendingCalls pendingCalls) {
    ShardEvent.Arrived firstArrival = pendingCalls.firstArrival();
    List<Long> callNumbers = new ArrayList<>();
    pendingCalls.arrivals.forEach(arrived -> callNumbers.add(arrived.callNumber()));
    pendingById.remove(firstArrival.id());
    waitersByRunningId.put(firstArrival.id(), callNumbers);
    recordsById.put(
        firstArrival.id(),
        new CallRecord(
            CallRecord.State.STARTED,
            firstArrival.keyIssuedMillis(),
            firstArrival.fingerprint(),
            null));
  }

  /** Makes a call wait for a running call with the same identity; returns whether one runs. */
  boolean joinRunning(ShardEvent.Arrived arrived) {
    List<Long> callNumbers = waitersByRunningId.get(arrived.id());
    if (callNumbers == null) {
      return false;
    }
    callNumbers.add(arrived.callNumber());
    idsByCallNumber.put(arrived.callNumber(), arrived.id());
    return true;
  }

  /** Removes a call that waits for the outcome of a running call, but never the running call. */
  void leaveRunning(long callNumber) {
    CallId id = idsByCallNumber.get(callNumber);
    List<Long> callNumbers = id == null ? null : waitersByRunningId.get(id);
    if (callNumbers != null && callNumbers.get(0) != callNumber && callNumbers.remove(callNumber)) {
      idsByCallNumber.remove(callNumber);
    }
  }

  /** Removes a running call; returns the numbers of all calls that wait for its outcome. */
  List<Long> finishRunning(CallId id) {
    List<Long> callNumbers = waitersByRunningId.remove(id);
    if (callNumbers == null) {
      return List.of();
    }
    callNumbers.forEach(idsByCallNumber::remove);
    return callNumbers;
  }

  void record(CallId id, CallRecord call) {
    recordsById.put(id, call);
  }

  void forget(CallId id) {
    recordsById.remove(id);
    idsInSegments.remove(id);
  }

  /** Removes all records. Running calls stay in the table, so that their dialers get answers. */
  void forgetAll() {
    recordsById.clear();
    idsInSegments.clear();
  }

  /** Removes records of finished calls whose key times lie below the low-water mark. */
  void removeOlderThan(long lowWaterMarkMillis) {
    recordsById
        .entrySet()
        .removeIf(
            entry ->
                entry.getValue().keyIssuedMillis() < lowWaterMarkMillis
                    && entry.getValue().state() != CallRecord.State.STARTED);
    idsInSegments.retainAll(recordsById.keySet());
  }

  void markInSegment(Set<CallId> ids) {
    ids.stream().filter(recordsById::containsKey).forEach(idsInSegments::add);
  }

  /** Returns the recorded calls that are in no segment, without outputs above the size limit. */
  Map<CallId, CallRecord> callsOutsideSegments(int maxOutputBytes) {
    Map<CallId, CallRecord> callsById = new HashMap<>();
    recordsById.forEach(
        (id, call) -> {
          if (!idsInSegments.contains(id)) {
            callsById.put(id, withoutLargeOutput(call, maxOutputBytes));
          }
        });
    return callsById;
  }

  /** Returns the finished calls that are in no segment, without outputs above the size limit. */
  Map<CallId, CallRecord> finishedCallsOutsideSegments(int maxOutputBytes) {
    Map<CallId, CallRecord> callsById = callsOutsideSegments(maxOutputBytes);
    callsById.values().removeIf(call -> call.state() == CallRecord.State.STARTED);
    return callsById;
  }

  private static CallRecord withoutLargeOutput(CallRecord call, int maxOutputBytes) {
    byte[] output = call.output();
    return output == null || output.length <= maxOutputBytes ? call : call.withState(call.state());
  }
}
