package org.oriolewell.core.call;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.call.ShardAction.Verdict;

/**
 * Random simulation, from a seed, of several processes that own one shard in turn. The store is
 * slow or unreachable, or its answers are lost after a write took effect; processes are paused or
 * killed; their clocks differ; and callers retry calls with the same key at several processes.
 */
final class ShardHistory {
  /** Fault injected into the protocol, to show that the simulation detects violations. */
  enum InjectedFault {
    /** No fault: the protocol runs unchanged. */
    NONE,
    /** A process that takes the shard over doesn't see the former owner's key window. */
    HIDE_WINDOW,
    /** A process that takes the shard over doesn't see calls recorded as started. */
    HIDE_STARTED,
    /** A process that takes the shard over reads segments without calls. */
    EMPTY_SEGMENTS,
    /** The store reports a refused write of the shard's record as acknowledged. */
    ACKNOWLEDGE_CONFLICTS
  }

  private static final int PROCESS_COUNT = 3;
  private static final int KEYS_PER_PERIOD = 12;

  /** A simulated process. A killed process is replaced by a new one with another process id. */
  private final class SimulatedProcess {
    final long clockOffsetMillis;
    final ShardOwner owner;
    final Deque<ShardEvent> pendingEvents = new ArrayDeque<>();
    final Set<Long> callsAtUpstream = new HashSet<>();

    SimulatedProcess(int number, int incarnation) {
      this.clockOffsetMillis = random.nextLong(-1000, 1000);
      this.owner = ShardOwner.of("calls/p/0", number + "#" + incarnation, "a" + number, SETTINGS);
    }

    void step() {
      ShardEvent event = pendingEvents.poll();
      if (event != null) {
        handle(event);
      }
    }

    void handle(ShardEvent event) {
      Instant now = Instant.ofEpochMilli(timeMillis + clockOffsetMillis);
      owner.on(event, now).forEach(action -> perform(this, action));
    }
  }

  private static final ShardSettings SETTINGS =
      new ShardSettings(
          Duration.ofSeconds(20),
          Duration.ofSeconds(2),
          Duration.ofMillis(1500),
          Duration.ofMillis(300),
          Duration.ofSeconds(2),
          4,
          16);

  private final Random random;
  private final InjectedFault injectedFault;
  private final Deque<Runnable> delayedWrites = new ArrayDeque<>();
  private final List<SimulatedProcess> processes = new ArrayList<>();
  private final Map<CallId, Integer> runCounts = new HashMap<>();
  private final Map<CallId, Long> keyMillisById = new HashMap<>();
  private final Map<Long, CallId> idsByCallNumber = new HashMap<>();
  private final Map<Long, CallId> settleRequests = new HashMap<>();
  private final Set<CallId> idsSettledNotRun = new HashSet<>();
  private final Set<Long> callsReportedNotRun = new HashSet<>();
  private final Set<Long> callsThatRan = new HashSet<>();
  private final Map<String, Segment> segments = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private @Nullable ShardRecord storedRecord;
  private long storedRevision;
  private long timeMillis = 1_700_000_000_000L;
  private long nextCallNumber;
  private int answeredCount;

  ShardHistory(long seed, InjectedFault injectedFault) {
    this.injectedFault = injectedFault;
    random = new Random(seed);
    for (int i = 0; i < PROCESS_COUNT; i++) {
      processes.add(new SimulatedProcess(i, 0));
    }
  }

  /** Simulates a number of steps and returns descriptions of the violations found. */
  List<String> run(int steps) {
    for (int i = 0; i < steps; i++) {
      step(i);
    }
    return violations;
  }

  /** Returns the number of calls that were answered, by which a test sees that calls ran. */
  int answeredCount() {
    return answeredCount;
  }

  private void step(int number) {
    timeMillis += random.nextInt(40);
    if (!delayedWrites.isEmpty() && random.nextInt(30) == 0) {
      delayedWrites.remove().run();
    }
    int index = random.nextInt(PROCESS_COUNT);
    SimulatedProcess process = processes.get(index);
    switch (random.nextInt(20)) {
      case 0 -> process.handle(new ShardEvent.Tick());
      case 1, 2, 3, 4 -> call(process);
      case 5 -> oneTimeInFive(() -> process.handle(new ShardEvent.Claim()));
      case 6 ->
          oneTimeInFive(
              () ->
                  oneTimeInFive(
                      () -> processes.set(index, new SimulatedProcess(index, number + 1))));
      case 7 -> requestSettlement(process);
      case 8, 9 -> finishOneCall(process);
      case 10 -> oneTimeInFive(() -> oneTimeInFive(() -> process.handle(new ShardEvent.Release())));
      default -> process.step();
    }
  }

  private void oneTimeInFive(Runnable action) {
    if (random.nextInt(5) == 0) {
      action.run();
    }
  }

  private CallId randomKey() {
    CallId id =
        new CallId(0, (timeMillis / 3000L) * KEYS_PER_PERIOD + random.nextInt(KEYS_PER_PERIOD));
    keyMillisById.computeIfAbsent(id, newId -> timeMillis - random.nextInt(3000) + 500);
    return id;
  }

  private long keyMillisOf(CallId id) {
    return keyMillisById.getOrDefault(id, timeMillis);
  }

  private void call(SimulatedProcess process) {
    CallId id = randomKey();
    long callNumber = nextCallNumber++;
    idsByCallNumber.put(callNumber, id);
    process.handle(new ShardEvent.Arrived(callNumber, id, keyMillisOf(id), 0));
  }

  private void requestSettlement(SimulatedProcess process) {
    CallId id = randomKey();
    settleRequests.put(nextCallNumber, id);
    process.handle(new ShardEvent.Settle(nextCallNumber++, id, keyMillisOf(id)));
  }

  private void finishOneCall(SimulatedProcess process) {
    process.callsAtUpstream.stream()
        .findFirst()
        .ifPresent(
            callNumber -> {
              process.callsAtUpstream.remove(callNumber);
              boolean outcomeUnknown = random.nextInt(4) == 0;
              process.handle(
                  new ShardEvent.Finished(
                      callNumber,
                      outcomeUnknown ? CallRecord.State.UNKNOWN : CallRecord.State.ANSWERED,
                      new byte[random.nextInt(32)]));
            });
  }

  private void perform(SimulatedProcess process, ShardAction action) {
    if (action instanceof ShardAction.ReadRecord) {
      process.pendingEvents.add(random.nextInt(8) == 0 ? new ShardEvent.ReadFailed() : read());
    } else if (action instanceof ShardAction.WriteRecord write) {
      write(process, write);
    } else if (action instanceof ShardAction.WriteSegment write) {
      segments.put(write.storeKey(), write.segment());
      process.pendingEvents.add(
          random.nextInt(4) == 0
              ? new ShardEvent.SegmentFailed(write.segment().writeId())
              : new ShardEvent.SegmentWritten(write.segment().writeId()));
    } else if (action instanceof ShardAction.AskStart ask) {
      process.pendingEvents.add(
          random.nextInt(4) == 0
              ? new ShardEvent.Denied(ask.callNumber())
              : new ShardEvent.Granted(ask.callNumber()));
    } else if (action instanceof ShardAction.Run run) {
      handleRun(process, run.callNumber());
    } else if (action instanceof ShardAction.Reply reply) {
      handleReply(reply);
    } else if (action instanceof ShardAction.Settled settled
        && settled.verdict() == Verdict.SETTLED_NOT_RUN) {
      CallId id = settleRequests.get(settled.settleNumber());
      idsSettledNotRun.add(id);
      if (runCounts.getOrDefault(id, 0) > 0) {
        violations.add("call " + id + " was settled as not run but ran");
      }
    }
  }

  private ShardEvent.RecordRead read() {
    ShardRecord record = storedRecord;
    Map<String, Segment> readSegments = new HashMap<>(segments);
    if (record != null && injectedFault == InjectedFault.HIDE_WINDOW) {
      record = copy(record, TimeRange.EMPTY, record.calls());
    } else if (record != null && injectedFault == InjectedFault.HIDE_STARTED) {
      Map<CallId, CallRecord> calls = new HashMap<>(record.calls());
      calls.values().removeIf(call -> call.state() == CallRecord.State.STARTED);
      record = copy(record, record.keyWindow(), calls);
    } else if (injectedFault == InjectedFault.EMPTY_SEGMENTS) {
      readSegments.replaceAll((name, segment) -> new Segment(segment.writeId(), Map.of()));
    }
    return new ShardEvent.RecordRead(record, storedRevision, readSegments);
  }

  private static ShardRecord copy(
      ShardRecord record, TimeRange keyWindow, Map<CallId, CallRecord> calls) {
    return new ShardRecord(
        record.epoch(),
        record.owner(),
        record.ownerAddress(),
        record.writeId(),
        keyWindow,
        record.ambiguousRanges(),
        record.lowWaterMarkMillis(),
        record.segments(),
        calls);
  }

  /** Applies a write of the record immediately, later or never; its answer may be lost. */
  private void write(SimulatedProcess process, ShardAction.WriteRecord write) {
    String id = write.record().writeId();
    int outcomeChoice = random.nextInt(10);
    if (outcomeChoice == 0) {
      delayedWrites.add(() -> apply(write));
    }
    if (outcomeChoice <= 1) {
      process.pendingEvents.add(new ShardEvent.WriteUnanswered(id));
      return;
    }
    boolean wasApplied = apply(write);
    if (outcomeChoice == 2) {
      process.pendingEvents.add(new ShardEvent.WriteUnanswered(id));
    } else if (wasApplied || injectedFault == InjectedFault.ACKNOWLEDGE_CONFLICTS) {
      process.pendingEvents.add(new ShardEvent.WriteAcknowledged(id, storedRevision));
    } else {
      process.pendingEvents.add(new ShardEvent.WriteConflict(id));
    }
  }

  private boolean apply(ShardAction.WriteRecord write) {
    boolean wasApplied = write.expectedRevision() == storedRevision;
    if (wasApplied) {
      storedRecord = write.record();
      storedRevision++;
    }
    return wasApplied;
  }

  private void handleRun(SimulatedProcess process, long callNumber) {
    CallId id = idsByCallNumber.get(callNumber);
    process.callsAtUpstream.add(callNumber);
    callsThatRan.add(callNumber);
    if (runCounts.merge(id, 1, Integer::sum) > 1) {
      violations.add("call " + id + " ran twice at step time " + timeMillis);
    }
    if (idsSettledNotRun.contains(id)) {
      violations.add("call " + id + " ran after it was settled as not run");
    }
    if (callsReportedNotRun.contains(callNumber)) {
      violations.add("call number " + callNumber + " ran after it was reported as not run");
    }
  }

  private void handleReply(ShardAction.Reply reply) {
    switch (reply.verdict()) {
      case ANSWERED, ANSWERED_WITHOUT_OUTPUT -> {
        answeredCount++;
        if (runCounts.getOrDefault(idsByCallNumber.get(reply.callNumber()), 0) == 0) {
          violations.add("call number " + reply.callNumber() + " was answered but never ran");
        }
      }
      case UNKNOWN, KEY_TOO_OLD -> {
        // The verdict doesn't say whether the call ran, so there is nothing to check.
      }
      default -> {
        callsReportedNotRun.add(reply.callNumber());
        if (callsThatRan.contains(reply.callNumber())) {
          violations.add("call number " + reply.callNumber() + " was reported as not run but ran");
        }
      }
    }
  }
}
