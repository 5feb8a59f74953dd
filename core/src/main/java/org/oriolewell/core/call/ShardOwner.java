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
 * <p>The owner of a shard holds a window of key times that a record in the store grants it. It runs
 * a call only if the call's key time lies in that window. A process that takes over excludes the
 * former owner's window, so the keys that two processes may run are disjoint whatever their clocks
 * say and however long one of them was paused.
 *
 * <p>Example: {@code List<ShardAction> actions = owner.on(new ShardEvent.Claim(),
 * clock.instant());}
 *
 * <p>Not thread-safe. Actions must be carried out in their order.
 */
public final class ShardOwner {
  private static final StateChart CHART = StateChart.load("shard-owner");
  private static final long RETRY_MILLIS = 100;

  /** Tells apart the writes of machines that one process makes for a shard one after another. */
  private static final AtomicLong INSTANCES = new AtomicLong();

  /** Bounds the writes that calls outside the window cause, to 40 a second. */
  private static final long MIN_WRITE_GAP_MILLIS = 25;

  private final String process;
  private final String writePrefix;
  private final String address;
  private final ShardSettings settings;
  private final CallTable table = new CallTable();
  private final Map<Long, CallId> unsettled = new HashMap<>();
  private final Map<Long, CallId> settling = new HashMap<>();
  private final SegmentList segments;

  private String state = CHART.initial();
  private long revision;
  private long writes;
  private @Nullable ShardRecord acknowledged;
  private @Nullable ShardRecord proposed;
  private boolean unanswered;
  private boolean verifying;
  private long retryAtMillis;
  private long lastWriteMillis;
  private boolean changed;
  private List<ShardAction> actions = new ArrayList<>();

  private ShardOwner(String shard, String process, String address, ShardSettings settings) {
    segments = new SegmentList(shard, table);
    this.process = process;
    this.writePrefix = process + "/" + INSTANCES.incrementAndGet() + "/";
    this.address = address;
    this.settings = settings;
  }

  /**
   * Returns a machine that doesn't own its shard yet.
   *
   * @param shard shard name, see {@link CallId#shardName}
   * @param process id of this process, different after each start
   * @param address address at which this process takes calls
   */
  public static ShardOwner of(
      String shard, String process, String address, ShardSettings settings) {
    return new ShardOwner(shard, process, address, settings);
  }

  /** Returns the state's name, as in {@code charts/shard-owner.toml}. */
  public String state() {
    return state;
  }

  /** Returns the epoch at which this process owns the shard, or empty if it doesn't. */
  public Optional<Long> epoch() {
    ShardRecord record = acknowledged;
    return record == null || record.owner() == null
        ? Optional.empty()
        : Optional.of(record.epoch());
  }

  /** Handles an event and returns what the program must do. */
  public List<ShardAction> on(ShardEvent event, Instant now) {
    actions = new ArrayList<>();
    long millis = now.toEpochMilli();
    if (event instanceof ShardEvent.Claim) {
      claim();
    } else if (event instanceof ShardEvent.RecordRead read) {
      recordRead(read, millis);
    } else if (event instanceof ShardEvent.ReadFailed) {
      readFailed(millis);
    } else if (event instanceof ShardEvent.WriteAcknowledged write) {
      writeAcknowledged(write, millis);
    } else if (event instanceof ShardEvent.WriteConflict write) {
      writeConflict(write);
    } else if (event instanceof ShardEvent.WriteUnanswered write) {
      writeUnanswered(write, millis);
    } else if (event instanceof ShardEvent.SegmentWritten segment) {
      segments.written(segment.writeId());
    } else if (event instanceof ShardEvent.SegmentFailed) {
      segments.failed();
    } else {
      onCallEvent(event, millis);
    }
    return actions;
  }

  private void onCallEvent(ShardEvent event, long now) {
    if (event instanceof ShardEvent.Arrived arrived) {
      arrived(arrived, now);
    } else if (event instanceof ShardEvent.Granted granted) {
      granted(granted.call(), now);
    } else if (event instanceof ShardEvent.Denied denied) {
      denied(denied.call(), now);
    } else if (event instanceof ShardEvent.Finished finished) {
      finished(finished, now);
    } else if (event instanceof ShardEvent.Settle settle) {
      settle(settle, now);
    } else if (event instanceof ShardEvent.Tick) {
      tick(now);
    } else if (event instanceof ShardEvent.Release) {
      release(now);
    }
  }

  // Ownership.

  private void claim() {
    if (CHART.after(state, "claim").isPresent()) {
      state = CHART.next(state, "claim");
      actions.add(new ShardAction.ReadRecord());
    }
  }

  private void recordRead(ShardEvent.RecordRead read, long now) {
    if (state.equals("reading")) {
      state = CHART.next(state, "record_read");
      proposeTakeover(read, now);
    } else if (verifying) {
      verifying = false;
      ShardRecord own = proposed;
      ShardRecord stored = read.record();
      if (own != null && stored != null && stored.writeId().equals(own.writeId())) {
        acknowledge(read.revision(), now);
      } else {
        lose();
      }
    }
  }

  private void readFailed(long now) {
    if (state.equals("reading")) {
      state = CHART.next(state, "read_failed");
      refusePending(Verdict.NOT_OWNER);
      actions.add(new ShardAction.Lost());
    } else if (verifying) {
      retryAtMillis = now + RETRY_MILLIS;
    }
  }

  private void proposeTakeover(ShardEvent.RecordRead read, long now) {
    final ShardRecord old = read.record();
    revision = read.revision();
    table.forgetAll();
    segments.clear();
    List<TimeRange> ambiguous = new ArrayList<>();
    long lowWater = now - settings.lifetime().toMillis();
    long epoch = 1;
    if (old != null) {
      epoch = old.epoch() + 1;
      lowWater = Math.max(lowWater, old.lowWaterMillis());
      ambiguous.addAll(old.ambiguous());
      if (!old.window().isEmpty()) {
        ambiguous.add(old.window());
      }
      old.calls().forEach((id, call) -> table.record(id, afterTakeover(call)));
      ambiguous.addAll(segments.adopt(old, read.segments()));
    }
    write(record(epoch, process, window(now, lowWater), ambiguous, lowWater));
  }

  private static CallRecord afterTakeover(CallRecord call) {
    return call.state() == CallRecord.State.STARTED ? call.in(CallRecord.State.UNKNOWN) : call;
  }

  private void writeAcknowledged(ShardEvent.WriteAcknowledged write, long now) {
    if (proposed != null && proposed.writeId().equals(write.writeId())) {
      acknowledge(write.revision(), now);
    }
  }

  private void writeConflict(ShardEvent.WriteConflict write) {
    if (proposed == null || !proposed.writeId().equals(write.writeId())) {
      return;
    }
    if (unanswered) {
      // An earlier attempt of this write may have taken effect, which the record tells.
      verifying = true;
      actions.add(new ShardAction.ReadRecord());
    } else {
      lose();
    }
  }

  private void writeUnanswered(ShardEvent.WriteUnanswered write, long now) {
    if (proposed != null && proposed.writeId().equals(write.writeId())) {
      unanswered = true;
      retryAtMillis = now + RETRY_MILLIS;
    }
  }

  private void acknowledge(long newRevision, long now) {
    ShardRecord record = proposed;
    if (record == null) {
      return;
    }
    final boolean claimed = state.equals("claiming");
    final boolean released = record.owner() == null;
    revision = newRevision;
    acknowledged = record;
    proposed = null;
    unanswered = false;
    verifying = false;
    lastWriteMillis = now;
    state = CHART.next(state, released ? "release_acknowledged" : "write_acknowledged");
    table.trim(record.lowWaterMillis());
    segments.trim(record.lowWaterMillis());
    settling.forEach(
        (question, id) ->
            actions.add(new ShardAction.Settled(question, Verdict.SETTLED_NOT_RUN, null)));
    settling.clear();
    if (claimed) {
      actions.add(new ShardAction.Acquired(record.epoch(), record.ambiguous().size()));
      readmit(now);
    } else if (released) {
      acknowledged = null;
      actions.add(new ShardAction.Released());
    } else {
      advancePending(now);
    }
    releaseIfIdle(now);
  }

  private void lose() {
    state = CHART.next(state, "write_conflict");
    acknowledged = null;
    proposed = null;
    unanswered = false;
    verifying = false;
    segments.clear();
    table.forgetAll();
    refusePending(Verdict.NOT_OWNER);
    unsettled.keySet().forEach(this::refuseSettle);
    settling.keySet().forEach(this::refuseSettle);
    unsettled.clear();
    settling.clear();
    actions.add(new ShardAction.Lost());
  }

  private void refuseSettle(long question) {
    actions.add(new ShardAction.Settled(question, Verdict.NOT_OWNER, null));
  }

  private void refusePending(Verdict verdict) {
    table
        .takeAllPending()
        .forEach(arrived -> actions.add(new ShardAction.Reply(arrived.call(), verdict, null)));
  }

  private void release(long now) {
    if (CHART.after(state, "release").isEmpty()) {
      if (!state.equals("releasing")) {
        refusePending(Verdict.STOPPING);
        actions.add(new ShardAction.Released());
      }
      return;
    }
    state = CHART.next(state, "release");
    releaseIfIdle(now);
  }

  private void releaseIfIdle(long now) {
    ShardRecord record = acknowledged;
    if (state.equals("releasing") && record != null && table.isIdle() && proposed == null) {
      long lowWater = lowWater(record, now);
      write(record(record.epoch(), null, TimeRange.EMPTY, record.ambiguous(), lowWater));
    }
  }

  // Writes of the record.

  private void proposeWindow(long now) {
    ShardRecord record = acknowledged;
    if (record == null || proposed != null || now - lastWriteMillis < MIN_WRITE_GAP_MILLIS) {
      return;
    }
    long lowWater = lowWater(record, now);
    TimeRange window = window(now, lowWater);
    for (CallTable.Pending waiting : table.allPending()) {
      window = window.including(waiting.first().keyMillis());
    }
    TimeRange bounded = new TimeRange(Math.max(window.from(), lowWater), window.until());
    write(record(record.epoch(), process, bounded, record.ambiguous(), lowWater));
  }

  private TimeRange window(long now, long lowWater) {
    return new TimeRange(
        Math.max(now - settings.lag().toMillis(), lowWater), now + settings.lead().toMillis());
  }

  private long lowWater(ShardRecord record, long now) {
    return Math.max(record.lowWaterMillis(), now - settings.lifetime().toMillis());
  }

  private ShardRecord record(
      long epoch,
      @Nullable String owner,
      TimeRange window,
      List<TimeRange> ambiguous,
      long lowWater) {
    return new ShardRecord(
        epoch,
        owner,
        owner == null ? null : address,
        writePrefix + ++writes,
        window,
        ambiguous.stream().filter(range -> range.until() >= lowWater).distinct().toList(),
        lowWater,
        segments.references(lowWater),
        table.unsegmented(settings.maxOutputBytes()));
  }

  private void write(ShardRecord record) {
    proposed = record;
    unanswered = false;
    changed = false;
    settling.putAll(unsettled);
    unsettled.clear();
    actions.add(new ShardAction.WriteRecord(revision, record));
  }

  // Calls.

  private void arrived(ShardEvent.Arrived arrived, long now) {
    switch (state) {
      case "reading", "claiming" -> table.addPending(arrived);
      case "owned", "releasing" -> admit(arrived, now);
      default ->
          actions.add(
              new ShardAction.Reply(
                  arrived.call(),
                  state.equals("released") ? Verdict.STOPPING : Verdict.NOT_OWNER,
                  null));
    }
  }

  private void readmit(long now) {
    List<ShardEvent.Arrived> waiting = table.takeAllPending();
    waiting.forEach(arrived -> admit(arrived, now));
  }

  private void admit(ShardEvent.Arrived arrived, long now) {
    CallRecord record = table.recorded(arrived.id());
    if (record != null) {
      answerFromRecord(arrived, record);
      return;
    }
    CallTable.Pending same = table.pending(arrived.id());
    if (same != null && same.first().fingerprint() != arrived.fingerprint()) {
      reply(arrived.call(), Verdict.KEY_CONFLICT);
      return;
    }
    Optional<Verdict> refusal =
        state.equals("releasing")
            ? Optional.of(Verdict.STOPPING)
            : keyRefusal(arrived.keyMillis(), now);
    if (refusal.isPresent()) {
      reply(arrived.call(), refusal.get());
      return;
    }
    changed = true;
    advance(table.addPending(arrived), now);
  }

  private void answerFromRecord(ShardEvent.Arrived arrived, CallRecord record) {
    if (record.fingerprint() != arrived.fingerprint()
        && record.state() != CallRecord.State.NOT_RUN) {
      reply(arrived.call(), Verdict.KEY_CONFLICT);
    } else if (record.state() != CallRecord.State.STARTED || !table.join(arrived)) {
      actions.add(new ShardAction.Reply(arrived.call(), verdict(record), record.output()));
    }
  }

  private static Verdict verdict(CallRecord record) {
    return switch (record.state()) {
      case ANSWERED -> record.output() == null ? Verdict.ANSWERED_WITHOUT_OUTPUT : Verdict.ANSWERED;
      case NOT_RUN -> Verdict.SETTLED_NOT_RUN;
      case STARTED, UNKNOWN -> Verdict.UNKNOWN;
    };
  }

  private Optional<Verdict> keyRefusal(long keyMillis, long now) {
    ShardRecord record = acknowledged;
    if (record == null) {
      return Optional.of(Verdict.NOT_OWNER);
    }
    if (keyMillis < lowWater(record, now)) {
      return Optional.of(Verdict.KEY_TOO_OLD);
    }
    if (record.ambiguous().stream().anyMatch(range -> range.contains(keyMillis))) {
      return Optional.of(Verdict.UNKNOWN);
    }
    if (keyMillis > now + settings.maxSkew().toMillis()) {
      return Optional.of(Verdict.KEY_IN_FUTURE);
    }
    return Optional.empty();
  }

  /** Returns whether a call may start now: both windows hold its key while a write is pending. */
  private boolean runnable(long keyMillis) {
    ShardRecord record = acknowledged;
    ShardRecord pending = proposed;
    return record != null
        && record.window().contains(keyMillis)
        && (pending == null || pending.window().contains(keyMillis))
        && keyMillis >= record.lowWaterMillis()
        && record.ambiguous().stream().noneMatch(range -> range.contains(keyMillis));
  }

  private void advancePending(long now) {
    table.allPending().forEach(waiting -> advance(waiting, now));
  }

  /** Asks for permission, starts a permitted call, or extends the window, whichever is due. */
  private void advance(CallTable.Pending waiting, long now) {
    ShardEvent.Arrived first = waiting.first();
    Optional<Verdict> refusal = keyRefusal(first.keyMillis(), now);
    if (refusal.isPresent()) {
      table.takePending(first.id()).forEach(arrived -> reply(arrived.call(), refusal.get()));
    } else if (!runnable(first.keyMillis())) {
      proposeWindow(now);
    } else if (waiting.granted) {
      table.start(waiting);
      changed = true;
      actions.add(new ShardAction.Run(first.call()));
    } else if (!waiting.asked) {
      waiting.asked = true;
      actions.add(new ShardAction.AskStart(first.call(), epoch().orElseThrow()));
    }
  }

  private void granted(long call, long now) {
    CallId id = table.identity(call);
    CallTable.Pending waiting = id == null ? null : table.pending(id);
    if (waiting != null && waiting.first().call() == call && waiting.asked) {
      waiting.granted = true;
      advance(waiting, now);
    }
  }

  private void denied(long call, long now) {
    CallId id = table.identity(call);
    if (id == null) {
      return;
    }
    if (!table.removePending(call)) {
      table.leave(call);
      return;
    }
    reply(call, Verdict.DENIED);
    CallTable.Pending rest = table.pending(id);
    if (rest != null && acknowledged != null) {
      advance(rest, now);
    }
    releaseIfIdle(now);
  }

  private void finished(ShardEvent.Finished finished, long now) {
    CallId id = table.identity(finished.call());
    if (id == null) {
      return;
    }
    CallRecord record = table.recorded(id);
    if (record != null) {
      changed = true;
      if (finished.state() == CallRecord.State.NOT_RUN) {
        table.forget(id);
      } else {
        table.record(
            id,
            new CallRecord(
                finished.state(), record.keyMillis(), record.fingerprint(), finished.output()));
      }
    }
    Verdict verdict =
        switch (finished.state()) {
          case ANSWERED -> Verdict.ANSWERED;
          case NOT_RUN -> Verdict.NOT_RUN;
          case STARTED, UNKNOWN -> Verdict.UNKNOWN;
        };
    table
        .finish(id)
        .forEach(call -> actions.add(new ShardAction.Reply(call, verdict, finished.output())));
    releaseIfIdle(now);
  }

  private void settle(ShardEvent.Settle settle, long now) {
    CallRecord record = table.recorded(settle.id());
    if (acknowledged == null) {
      refuseSettle(settle.question());
    } else if (unsettled.containsValue(settle.id()) || settling.containsValue(settle.id())) {
      // Only a written settlement binds a later owner, so this question waits for the write too.
      unsettled.put(settle.question(), settle.id());
    } else if (record != null) {
      Verdict verdict = verdict(record);
      actions.add(new ShardAction.Settled(settle.question(), verdict, record.output()));
    } else if (table.pending(settle.id()) != null) {
      actions.add(new ShardAction.Settled(settle.question(), Verdict.UNKNOWN, null));
    } else {
      settleAbsent(settle, now);
    }
  }

  private void settleAbsent(ShardEvent.Settle settle, long now) {
    Optional<Verdict> refusal = keyRefusal(settle.keyMillis(), now);
    if (refusal.isPresent()) {
      actions.add(new ShardAction.Settled(settle.question(), refusal.get(), null));
      return;
    }
    table.record(
        settle.id(), new CallRecord(CallRecord.State.NOT_RUN, settle.keyMillis(), 0, null));
    unsettled.put(settle.question(), settle.id());
    proposeWindow(now);
  }

  private void reply(long call, Verdict verdict) {
    actions.add(new ShardAction.Reply(call, verdict, null));
  }

  // Time.

  private void tick(long now) {
    if (proposed != null) {
      retryWrite(now);
      return;
    }
    boolean due = now - lastWriteMillis >= settings.interval().toMillis();
    boolean waiting = !unsettled.isEmpty() || table.allPending().stream().anyMatch(p -> !p.asked);
    if ((due && changed) || waiting) {
      splitSegment();
      proposeWindow(now);
    }
    releaseIfIdle(now);
  }

  private void retryWrite(long now) {
    ShardRecord record = proposed;
    if (record == null || !unanswered || now < retryAtMillis) {
      return;
    }
    retryAtMillis = now + RETRY_MILLIS;
    actions.add(
        verifying ? new ShardAction.ReadRecord() : new ShardAction.WriteRecord(revision, record));
  }

  private void splitSegment() {
    ShardRecord record = acknowledged;
    if (record == null || segments.isWriting()) {
      return;
    }
    Map<CallId, CallRecord> finished = table.finishedUnsegmented(settings.maxOutputBytes());
    if (finished.size() >= settings.segmentCalls()) {
      segments.start(record.epoch(), writePrefix + ++writes, finished).ifPresent(actions::add);
    }
  }
}
