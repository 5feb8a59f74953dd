package org.oriolewell.core.call;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.call.ShardAction.Verdict;
import org.oriolewell.core.statechart.StateChart;

/**
 * State machine of one process for one shard of non-idempotent calls.
 *
 * <p>The shard's record in the store grants its owner a window of key times. The owner runs a call
 * only if its key time lies in that window. A process that takes the shard over excludes the former
 * owner's window, so two processes never run the same key, however much their clocks differ and
 * however long one of them was paused.
 *
 * <p>Example: {@code List<ShardAction> actions = owner.on(new ShardEvent.Claim(),
 * clock.instant());}
 *
 * <p>Not thread-safe. Actions must be performed in the order of the list.
 */
public final class ShardOwner {
  private static final StateChart CHART = StateChart.load("shard-owner");
  private static final long STORE_RETRY_MILLIS = 100;

  /** Makes the write ids unique among all {@code ShardOwner}s of one process. */
  private static final AtomicLong INSTANCE_COUNTER = new AtomicLong();

  /** Limits the record writes for calls outside the key window to 40 a second. */
  private static final long MIN_WRITE_INTERVAL_MILLIS = 25;

  private final String processId;
  private final String writeIdPrefix;
  private final String callAddress;
  private final ShardSettings settings;
  private final CallTable callTable = new CallTable();
  private final Map<Long, CallId> unwrittenSettlements = new HashMap<>();
  private final Map<Long, CallId> settlementsInWrite = new HashMap<>();
  private final SegmentList segments;

  private String state = CHART.initial();
  private long recordRevision;
  private long writeCount;
  private @Nullable ShardRecord acknowledgedRecord;
  private @Nullable ShardRecord proposedRecord;
  private boolean writeOutcomeUnknown;
  private boolean verifyingWrite;
  private long retryAtMillis;
  private long lastWriteMillis;
  private boolean hasUnwrittenChanges;
  private List<ShardAction> actions = new ArrayList<>();

  private ShardOwner(
      String shardName, String processId, String callAddress, ShardSettings settings) {
    segments = new SegmentList(shardName, callTable);
    this.processId = processId;
    this.writeIdPrefix = processId + "/" + INSTANCE_COUNTER.incrementAndGet() + "/";
    this.callAddress = callAddress;
    this.settings = settings;
  }

  /**
   * Returns a state machine that doesn't own its shard yet.
   *
   * @param shardName name of the shard, see {@link CallId#shardName}
   * @param processId id of this process, different after each start of the process
   * @param callAddress address at which this process accepts calls for the shard
   * @param settings settings of the key window, record writes and segments
   */
  public static ShardOwner of(
      String shardName, String processId, String callAddress, ShardSettings settings) {
    return new ShardOwner(shardName, processId, callAddress, settings);
  }

  /** Returns the current state's name, one of those in {@code charts/shard-owner.toml}. */
  public String state() {
    return state;
  }

  /** Returns the epoch at which this process owns the shard, or empty if it doesn't own it. */
  public Optional<Long> epoch() {
    ShardRecord record = acknowledgedRecord;
    return record == null || record.owner() == null
        ? Optional.empty()
        : Optional.of(record.epoch());
  }

  /** Handles an event and returns the actions that the process must perform. */
  public List<ShardAction> on(ShardEvent event, Instant now) {
    actions = new ArrayList<>();
    long nowMillis = now.toEpochMilli();
    if (event instanceof ShardEvent.Claim) {
      handleClaim();
    } else if (event instanceof ShardEvent.RecordRead read) {
      handleRecordRead(read, nowMillis);
    } else if (event instanceof ShardEvent.ReadFailed) {
      handleReadFailed(nowMillis);
    } else if (event instanceof ShardEvent.WriteAcknowledged write) {
      handleWriteAcknowledged(write, nowMillis);
    } else if (event instanceof ShardEvent.WriteConflict write) {
      handleWriteConflict(write);
    } else if (event instanceof ShardEvent.WriteUnanswered write) {
      handleWriteUnanswered(write, nowMillis);
    } else if (event instanceof ShardEvent.SegmentWritten segment) {
      segments.completeWrite(segment.writeId());
    } else if (event instanceof ShardEvent.SegmentFailed) {
      segments.abandonWrite();
    } else {
      handleCallEvent(event, nowMillis);
    }
    return actions;
  }

  private void handleCallEvent(ShardEvent event, long nowMillis) {
    if (event instanceof ShardEvent.Arrived arrived) {
      handleArrived(arrived, nowMillis);
    } else if (event instanceof ShardEvent.Granted granted) {
      handleGranted(granted.callNumber(), nowMillis);
    } else if (event instanceof ShardEvent.Denied denied) {
      handleDenied(denied.callNumber(), nowMillis);
    } else if (event instanceof ShardEvent.Finished finishedCall) {
      handleFinished(finishedCall, nowMillis);
    } else if (event instanceof ShardEvent.Settle settle) {
      handleSettle(settle, nowMillis);
    } else if (event instanceof ShardEvent.Tick) {
      handleTick(nowMillis);
    } else if (event instanceof ShardEvent.Release) {
      handleRelease(nowMillis);
    }
  }

  // Claim, loss and release of the shard.

  private void handleClaim() {
    if (CHART.after(state, "claim").isPresent()) {
      state = CHART.next(state, "claim");
      actions.add(new ShardAction.ReadRecord());
    }
  }

  private void handleRecordRead(ShardEvent.RecordRead read, long nowMillis) {
    if (state.equals("reading")) {
      state = CHART.next(state, "record_read");
      proposeTakeover(read, nowMillis);
    } else if (verifyingWrite) {
      verifyingWrite = false;
      ShardRecord ownRecord = proposedRecord;
      ShardRecord storedRecord = read.record();
      if (ownRecord != null
          && storedRecord != null
          && storedRecord.writeId().equals(ownRecord.writeId())) {
        applyAcknowledgedWrite(read.revision(), nowMillis);
      } else {
        loseShard();
      }
    }
  }

  private void handleReadFailed(long nowMillis) {
    if (state.equals("reading")) {
      state = CHART.next(state, "read_failed");
      refusePending(Verdict.NOT_OWNER);
      actions.add(new ShardAction.Lost());
    } else if (verifyingWrite) {
      retryAtMillis = nowMillis + STORE_RETRY_MILLIS;
    }
  }

  private void proposeTakeover(ShardEvent.RecordRead read, long nowMillis) {
    final ShardRecord formerRecord = read.record();
    recordRevision = read.revision();
    callTable.forgetAll();
    segments.clear();
    List<TimeRange> ambiguousRanges = new ArrayList<>();
    long lowWaterMarkMillis = nowMillis - settings.keyLifetime().toMillis();
    long epoch = 1;
    if (formerRecord != null) {
      epoch = formerRecord.epoch() + 1;
      lowWaterMarkMillis = Math.max(lowWaterMarkMillis, formerRecord.lowWaterMarkMillis());
      ambiguousRanges.addAll(formerRecord.ambiguousRanges());
      if (!formerRecord.keyWindow().isEmpty()) {
        ambiguousRanges.add(formerRecord.keyWindow());
      }
      formerRecord.calls().forEach((id, call) -> callTable.record(id, unknownIfStarted(call)));
      ambiguousRanges.addAll(segments.adoptSegments(formerRecord, read.segments()));
    }
    proposeWrite(
        nextRecord(
            epoch,
            processId,
            keyWindowAt(nowMillis, lowWaterMarkMillis),
            ambiguousRanges,
            lowWaterMarkMillis));
  }

  private static CallRecord unknownIfStarted(CallRecord call) {
    return call.state() == CallRecord.State.STARTED
        ? call.withState(CallRecord.State.UNKNOWN)
        : call;
  }

  private void handleWriteAcknowledged(ShardEvent.WriteAcknowledged write, long nowMillis) {
    if (proposedRecord != null && proposedRecord.writeId().equals(write.writeId())) {
      applyAcknowledgedWrite(write.revision(), nowMillis);
    }
  }

  private void handleWriteConflict(ShardEvent.WriteConflict write) {
    if (proposedRecord == null || !proposedRecord.writeId().equals(write.writeId())) {
      return;
    }
    if (writeOutcomeUnknown) {
      // An earlier attempt of this write may have taken effect. The stored write id shows it.
      verifyingWrite = true;
      actions.add(new ShardAction.ReadRecord());
    } else {
      loseShard();
    }
  }

  private void handleWriteUnanswered(ShardEvent.WriteUnanswered write, long nowMillis) {
    if (proposedRecord != null && proposedRecord.writeId().equals(write.writeId())) {
      writeOutcomeUnknown = true;
      retryAtMillis = nowMillis + STORE_RETRY_MILLIS;
    }
  }

  private void applyAcknowledgedWrite(long newRecordRevision, long nowMillis) {
    ShardRecord record = proposedRecord;
    if (record == null) {
      return;
    }
    final boolean wasClaiming = state.equals("claiming");
    final boolean isRelease = record.owner() == null;
    recordRevision = newRecordRevision;
    acknowledgedRecord = record;
    proposedRecord = null;
    writeOutcomeUnknown = false;
    verifyingWrite = false;
    lastWriteMillis = nowMillis;
    state = CHART.next(state, isRelease ? "release_acknowledged" : "write_acknowledged");
    callTable.removeOlderThan(record.lowWaterMarkMillis());
    segments.removeOlderThan(record.lowWaterMarkMillis());
    settlementsInWrite.forEach(
        (settleNumber, id) ->
            actions.add(new ShardAction.Settled(settleNumber, Verdict.SETTLED_NOT_RUN, null)));
    settlementsInWrite.clear();
    if (wasClaiming) {
      actions.add(new ShardAction.Acquired(record.epoch(), record.ambiguousRanges().size()));
      admitPending(nowMillis);
    } else if (isRelease) {
      acknowledgedRecord = null;
      actions.add(new ShardAction.Released());
    } else {
      advanceAllPending(nowMillis);
    }
    releaseIfIdle(nowMillis);
  }

  private void loseShard() {
    state = CHART.next(state, "write_conflict");
    acknowledgedRecord = null;
    proposedRecord = null;
    writeOutcomeUnknown = false;
    verifyingWrite = false;
    segments.clear();
    callTable.forgetAll();
    refusePending(Verdict.NOT_OWNER);
    unwrittenSettlements.keySet().forEach(this::refuseSettle);
    settlementsInWrite.keySet().forEach(this::refuseSettle);
    unwrittenSettlements.clear();
    settlementsInWrite.clear();
    actions.add(new ShardAction.Lost());
  }

  private void refuseSettle(long settleNumber) {
    actions.add(new ShardAction.Settled(settleNumber, Verdict.NOT_OWNER, null));
  }

  private void refusePending(Verdict verdict) {
    callTable
        .takeAllPending()
        .forEach(
            arrived -> actions.add(new ShardAction.Reply(arrived.callNumber(), verdict, null)));
  }

  private void handleRelease(long nowMillis) {
    if (CHART.after(state, "release").isEmpty()) {
      if (!state.equals("releasing")) {
        refusePending(Verdict.STOPPING);
        actions.add(new ShardAction.Released());
      }
      return;
    }
    state = CHART.next(state, "release");
    releaseIfIdle(nowMillis);
  }

  private void releaseIfIdle(long nowMillis) {
    ShardRecord record = acknowledgedRecord;
    if (state.equals("releasing")
        && record != null
        && callTable.isIdle()
        && proposedRecord == null) {
      long lowWaterMarkMillis = lowWaterMarkMillis(record, nowMillis);
      proposeWrite(
          nextRecord(
              record.epoch(), null, TimeRange.EMPTY, record.ambiguousRanges(), lowWaterMarkMillis));
    }
  }

  // Writes of the shard's record.

  private void proposeKeyWindow(long nowMillis) {
    ShardRecord record = acknowledgedRecord;
    if (record == null
        || proposedRecord != null
        || nowMillis - lastWriteMillis < MIN_WRITE_INTERVAL_MILLIS) {
      return;
    }
    long lowWaterMarkMillis = lowWaterMarkMillis(record, nowMillis);
    TimeRange keyWindow = keyWindowAt(nowMillis, lowWaterMarkMillis);
    for (CallTable.PendingCalls pendingCalls : callTable.allPending()) {
      keyWindow = keyWindow.including(pendingCalls.firstArrival().keyIssuedMillis());
    }
    TimeRange boundedKeyWindow =
        new TimeRange(
            Math.max(keyWindow.firstMillis(), lowWaterMarkMillis), keyWindow.lastMillis());
    proposeWrite(
        nextRecord(
            record.epoch(),
            processId,
            boundedKeyWindow,
            record.ambiguousRanges(),
            lowWaterMarkMillis));
  }

  private TimeRange keyWindowAt(long nowMillis, long lowWaterMarkMillis) {
    return new TimeRange(
        Math.max(nowMillis - settings.windowLag().toMillis(), lowWaterMarkMillis),
        nowMillis + settings.windowLead().toMillis());
  }

  private long lowWaterMarkMillis(ShardRecord record, long nowMillis) {
    return Math.max(record.lowWaterMarkMillis(), nowMillis - settings.keyLifetime().toMillis());
  }

  private ShardRecord nextRecord(
      long epoch,
      @Nullable String owner,
      TimeRange keyWindow,
      List<TimeRange> ambiguousRanges,
      long lowWaterMarkMillis) {
    return new ShardRecord(
        epoch,
        owner,
        owner == null ? null : callAddress,
        writeIdPrefix + ++writeCount,
        keyWindow,
        ambiguousRanges.stream()
            .filter(range -> range.lastMillis() >= lowWaterMarkMillis)
            .distinct()
            .toList(),
        lowWaterMarkMillis,
        segments.referencesSince(lowWaterMarkMillis),
        callTable.callsOutsideSegments(settings.maxStoredOutputBytes()));
  }

  private void proposeWrite(ShardRecord record) {
    proposedRecord = record;
    writeOutcomeUnknown = false;
    hasUnwrittenChanges = false;
    settlementsInWrite.putAll(unwrittenSettlements);
    unwrittenSettlements.clear();
    actions.add(new ShardAction.WriteRecord(recordRevision, record));
  }

  // Calls of the shard.

  private void handleArrived(ShardEvent.Arrived arrived, long nowMillis) {
    switch (state) {
      case "reading", "claiming" -> callTable.addPending(arrived);
      case "owned", "releasing" -> admit(arrived, nowMillis);
      default ->
          actions.add(
              new ShardAction.Reply(
                  arrived.callNumber(),
                  state.equals("released") ? Verdict.STOPPING : Verdict.NOT_OWNER,
                  null));
    }
  }

  private void admitPending(long nowMillis) {
    List<ShardEvent.Arrived> pendingCalls = callTable.takeAllPending();
    pendingCalls.forEach(arrived -> admit(arrived, nowMillis));
  }

  private void admit(ShardEvent.Arrived arrived, long nowMillis) {
    CallRecord record = callTable.recordOf(arrived.id());
    if (record != null) {
      answerFromRecord(arrived, record);
      return;
    }
    CallTable.PendingCalls sameKeyCalls = callTable.pendingOf(arrived.id());
    if (sameKeyCalls != null
        && sameKeyCalls.firstArrival().fingerprint() != arrived.fingerprint()) {
      reply(arrived.callNumber(), Verdict.KEY_CONFLICT);
      return;
    }
    Optional<Verdict> refusal =
        state.equals("releasing")
            ? Optional.of(Verdict.STOPPING)
            : refusalOfKey(arrived.keyIssuedMillis(), nowMillis);
    if (refusal.isPresent()) {
      reply(arrived.callNumber(), refusal.get());
      return;
    }
    hasUnwrittenChanges = true;
    advanceCalls(callTable.addPending(arrived), nowMillis);
  }

  private void answerFromRecord(ShardEvent.Arrived arrived, CallRecord record) {
    if (record.fingerprint() != arrived.fingerprint()
        && record.state() != CallRecord.State.NOT_RUN) {
      reply(arrived.callNumber(), Verdict.KEY_CONFLICT);
    } else if (record.state() != CallRecord.State.STARTED || !callTable.joinRunning(arrived)) {
      actions.add(new ShardAction.Reply(arrived.callNumber(), verdict(record), record.output()));
    }
  }

  private static Verdict verdict(CallRecord record) {
    return switch (record.state()) {
      case ANSWERED -> record.output() == null ? Verdict.ANSWERED_WITHOUT_OUTPUT : Verdict.ANSWERED;
      case NOT_RUN -> Verdict.SETTLED_NOT_RUN;
      case STARTED, UNKNOWN -> Verdict.UNKNOWN;
    };
  }

  private Optional<Verdict> refusalOfKey(long keyIssuedMillis, long nowMillis) {
    ShardRecord record = acknowledgedRecord;
    if (record == null) {
      return Optional.of(Verdict.NOT_OWNER);
    }
    if (keyIssuedMillis < lowWaterMarkMillis(record, nowMillis)) {
      return Optional.of(Verdict.KEY_TOO_OLD);
    }
    if (record.ambiguousRanges().stream().anyMatch(range -> range.contains(keyIssuedMillis))) {
      return Optional.of(Verdict.UNKNOWN);
    }
    if (keyIssuedMillis > nowMillis + settings.maxClockSkew().toMillis()) {
      return Optional.of(Verdict.KEY_IN_FUTURE);
    }
    return Optional.empty();
  }

  /**
   * Returns whether a call may start now. While a write of the record is in progress, its key time
   * must lie in the key windows of both the acknowledged and the proposed record.
   */
  private boolean mayStart(long keyIssuedMillis) {
    ShardRecord record = acknowledgedRecord;
    ShardRecord pendingRecord = proposedRecord;
    return record != null
        && record.keyWindow().contains(keyIssuedMillis)
        && (pendingRecord == null || pendingRecord.keyWindow().contains(keyIssuedMillis))
        && keyIssuedMillis >= record.lowWaterMarkMillis()
        && record.ambiguousRanges().stream().noneMatch(range -> range.contains(keyIssuedMillis));
  }

  private void advanceAllPending(long nowMillis) {
    callTable.allPending().forEach(pendingCalls -> advanceCalls(pendingCalls, nowMillis));
  }

  /**
   * Takes the next step towards running the first of the pending calls: extends the key window,
   * asks for permission, or starts the call.
   */
  private void advanceCalls(CallTable.PendingCalls pendingCalls, long nowMillis) {
    ShardEvent.Arrived firstArrival = pendingCalls.firstArrival();
    Optional<Verdict> refusal = refusalOfKey(firstArrival.keyIssuedMillis(), nowMillis);
    if (refusal.isPresent()) {
      callTable
          .takePending(firstArrival.id())
          .forEach(arrived -> reply(arrived.callNumber(), refusal.get()));
    } else if (!mayStart(firstArrival.keyIssuedMillis())) {
      proposeKeyWindow(nowMillis);
    } else if (pendingCalls.startGranted) {
      callTable.markStarted(pendingCalls);
      hasUnwrittenChanges = true;
      actions.add(new ShardAction.Run(firstArrival.callNumber()));
    } else if (!pendingCalls.startRequested) {
      pendingCalls.startRequested = true;
      actions.add(new ShardAction.AskStart(firstArrival.callNumber(), epoch().orElseThrow()));
    }
  }

  private void handleGranted(long callNumber, long nowMillis) {
    CallId id = callTable.idOf(callNumber);
    CallTable.PendingCalls pendingCalls = id == null ? null : callTable.pendingOf(id);
    if (pendingCalls != null
        && pendingCalls.firstArrival().callNumber() == callNumber
        && pendingCalls.startRequested) {
      pendingCalls.startGranted = true;
      advanceCalls(pendingCalls, nowMillis);
    }
  }

  private void handleDenied(long callNumber, long nowMillis) {
    CallId id = callTable.idOf(callNumber);
    if (id == null) {
      return;
    }
    if (!callTable.removePending(callNumber)) {
      callTable.leaveRunning(callNumber);
      return;
    }
    reply(callNumber, Verdict.DENIED);
    CallTable.PendingCalls remainingCalls = callTable.pendingOf(id);
    if (remainingCalls != null && acknowledgedRecord != null) {
      advanceCalls(remainingCalls, nowMillis);
    }
    releaseIfIdle(nowMillis);
  }

  private void handleFinished(ShardEvent.Finished finishedCall, long nowMillis) {
    CallId id = callTable.idOf(finishedCall.callNumber());
    if (id == null) {
      return;
    }
    CallRecord record = callTable.recordOf(id);
    if (record != null) {
      hasUnwrittenChanges = true;
      if (finishedCall.state() == CallRecord.State.NOT_RUN) {
        callTable.forget(id);
      } else {
        callTable.record(
            id,
            new CallRecord(
                finishedCall.state(),
                record.keyIssuedMillis(),
                record.fingerprint(),
                finishedCall.output()));
      }
    }
    Verdict verdict =
        switch (finishedCall.state()) {
          case ANSWERED -> Verdict.ANSWERED;
          case NOT_RUN -> Verdict.NOT_RUN;
          case STARTED, UNKNOWN -> Verdict.UNKNOWN;
        };
    callTable
        .finishRunning(id)
        .forEach(
            callNumber ->
                actions.add(new ShardAction.Reply(callNumber, verdict, finishedCall.output())));
    releaseIfIdle(nowMillis);
  }

  private void handleSettle(ShardEvent.Settle settle, long nowMillis) {
    CallRecord record = callTable.recordOf(settle.id());
    if (acknowledgedRecord == null) {
      refuseSettle(settle.settleNumber());
    } else if (unwrittenSettlements.containsValue(settle.id())
        || settlementsInWrite.containsValue(settle.id())) {
      // A later owner knows only written settlements, so this request waits for the write too.
      unwrittenSettlements.put(settle.settleNumber(), settle.id());
    } else if (record != null) {
      Verdict verdict = verdict(record);
      actions.add(new ShardAction.Settled(settle.settleNumber(), verdict, record.output()));
    } else if (callTable.pendingOf(settle.id()) != null) {
      actions.add(new ShardAction.Settled(settle.settleNumber(), Verdict.UNKNOWN, null));
    } else {
      settleUnknownKey(settle, nowMillis);
    }
  }

  private void settleUnknownKey(ShardEvent.Settle settle, long nowMillis) {
    Optional<Verdict> refusal = refusalOfKey(settle.keyIssuedMillis(), nowMillis);
    if (refusal.isPresent()) {
      actions.add(new ShardAction.Settled(settle.settleNumber(), refusal.get(), null));
      return;
    }
    callTable.record(
        settle.id(), new CallRecord(CallRecord.State.NOT_RUN, settle.keyIssuedMillis(), 0, null));
    unwrittenSettlements.put(settle.settleNumber(), settle.id());
    proposeKeyWindow(nowMillis);
  }

  private void reply(long callNumber, Verdict verdict) {
    actions.add(new ShardAction.Reply(callNumber, verdict, null));
  }

  // Timer.

  private void handleTick(long nowMillis) {
    if (proposedRecord != null) {
      retryWrite(nowMillis);
      return;
    }
    boolean writeDue = nowMillis - lastWriteMillis >= settings.writeInterval().toMillis();
    boolean callsWaiting =
        !unwrittenSettlements.isEmpty()
            || callTable.allPending().stream().anyMatch(calls -> !calls.startRequested);
    if ((writeDue && hasUnwrittenChanges) || callsWaiting) {
      splitSegment();
      proposeKeyWindow(nowMillis);
    }
    releaseIfIdle(nowMillis);
  }

  private void retryWrite(long nowMillis) {
    ShardRecord record = proposedRecord;
    if (record == null || !writeOutcomeUnknown || nowMillis < retryAtMillis) {
      return;
    }
    retryAtMillis = nowMillis + STORE_RETRY_MILLIS;
    actions.add(
        verifyingWrite
            ? new ShardAction.ReadRecord()
            : new ShardAction.WriteRecord(recordRevision, record));
  }

  private void splitSegment() {
    ShardRecord record = acknowledgedRecord;
    if (record == null || segments.isWriting()) {
      return;
    }
    Map<CallId, CallRecord> finishedCalls =
        callTable.finishedCallsOutsideSegments(settings.maxStoredOutputBytes());
    if (finishedCalls.size() >= settings.segmentMinCalls()) {
      segments
          .startWrite(record.epoch(), writeIdPrefix + ++writeCount, finishedCalls)
          .ifPresent(actions::add);
    }
  }
}
