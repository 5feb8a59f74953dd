package org.oriolewell.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;
import org.oriolewell.core.call.ShardAction.Verdict;

/**
 * Tests that a non-idempotent call runs at most once, and never after it was reported as not run.
 */
class ShardOwnerTest {
  private static final long NOW_MILLIS = 1_700_000_000_000L;
  private static final int HISTORY_COUNT = 3000;
  private static final int STEPS_PER_HISTORY = 800;

  private final ShardOwner owner =
      ShardOwner.of("calls/p/0", "a#1", "127.0.0.1:1", ShardSettings.defaults());

  @Test
  void noCallRunsTwiceInRandomHistories() {
    int answeredCount = 0;
    for (long seed = 1; seed <= HISTORY_COUNT; seed++) {
      ShardHistory history = new ShardHistory(seed, ShardHistory.InjectedFault.NONE);
      assertThat(history.run(STEPS_PER_HISTORY)).as("violations with seed %d", seed).isEmpty();
      answeredCount += history.answeredCount();
    }
    assertThat(answeredCount).as("calls answered over all histories").isGreaterThan(HISTORY_COUNT);
  }

  /** Guards against a simulation that detects no violations: each injected fault must cause one. */
  @ParameterizedTest
  @EnumSource(value = ShardHistory.InjectedFault.class, mode = Mode.EXCLUDE, names = "NONE")
  void eachInjectedFaultCausesViolations(ShardHistory.InjectedFault injectedFault) {
    boolean violationFound = false;
    for (long seed = 1; seed <= HISTORY_COUNT && !violationFound; seed++) {
      violationFound = !new ShardHistory(seed, injectedFault).run(STEPS_PER_HISTORY).isEmpty();
    }
    assertThat(violationFound).as("a violation with %s", injectedFault).isTrue();
  }

  @Test
  void newKeyRunsAfterItsGrantWithoutAnotherRecordWrite() {
    acquireShard();

    List<ShardAction> actionsAfterArrival = on(new ShardEvent.Arrived(1, callId(1), NOW_MILLIS, 7));
    List<ShardAction> actionsAfterGrant = on(new ShardEvent.Granted(1));

    assertThat(actionsAfterArrival).containsExactly(new ShardAction.AskStart(1, 1));
    assertThat(actionsAfterGrant).containsExactly(new ShardAction.Run(1));
  }

  /** Guards against a second run for a retry that arrives while the first call still runs. */
  @Test
  void retryWhileRunningWaitsForTheFirstCallsOutcome() {
    acquireShard();
    on(new ShardEvent.Arrived(1, callId(1), NOW_MILLIS, 7));
    on(new ShardEvent.Granted(1));

    assertThat(on(new ShardEvent.Arrived(2, callId(1), NOW_MILLIS, 7))).isEmpty();
    byte[] output = {1};
    assertThat(on(new ShardEvent.Finished(1, CallRecord.State.ANSWERED, output)))
        .containsExactly(
            new ShardAction.Reply(1, Verdict.ANSWERED, output),
            new ShardAction.Reply(2, Verdict.ANSWERED, output));
  }

  @Test
  void sameKeyWithAnotherBodyIsRefused() {
    acquireShard();
    on(new ShardEvent.Arrived(1, callId(1), NOW_MILLIS, 7));

    assertThat(on(new ShardEvent.Arrived(2, callId(1), NOW_MILLIS, 8)))
        .containsExactly(new ShardAction.Reply(2, Verdict.KEY_CONFLICT, null));
  }

  /** Guards against a new owner that runs a key which the former owner may have run. */
  @Test
  void keyInTheFormerOwnersKeyWindowIsUnknownAfterTakeover() {
    ShardRecord formerRecord = formerRecord(3, new TimeRange(NOW_MILLIS - 1000, NOW_MILLIS + 500));
    on(new ShardEvent.Claim());
    ShardRecord writtenRecord =
        writtenRecord(on(new ShardEvent.RecordRead(formerRecord, 9, Map.of())));
    on(new ShardEvent.WriteAcknowledged(writtenRecord.writeId(), 10));

    assertThat(writtenRecord.epoch()).isEqualTo(4);
    assertThat(on(new ShardEvent.Arrived(1, callId(1), NOW_MILLIS, 7)))
        .containsExactly(new ShardAction.Reply(1, Verdict.UNKNOWN, null));
    assertThat(on(new ShardEvent.Arrived(2, callId(2), NOW_MILLIS + 501, 7)))
        .containsExactly(new ShardAction.AskStart(2, 4));
  }

  /** Guards against running calls again whose records were lost with an overwritten segment. */
  @Test
  void overwrittenSegmentMakesItsKeyTimesAmbiguous() {
    TimeRange segmentKeyTimes = new TimeRange(NOW_MILLIS - 5000, NOW_MILLIS - 4000);
    ShardRecord formerRecord =
        new ShardRecord(
            3,
            null,
            null,
            "w",
            TimeRange.EMPTY,
            List.of(),
            NOW_MILLIS - 60_000,
            List.of(new Segment.Reference("s", "expected", segmentKeyTimes)),
            Map.of());
    on(new ShardEvent.Claim());
    ShardRecord writtenRecord =
        writtenRecord(
            on(
                new ShardEvent.RecordRead(
                    formerRecord, 9, Map.of("s", new Segment("another", Map.of())))));

    assertThat(writtenRecord.ambiguousRanges()).containsExactly(segmentKeyTimes);
  }

  /** Guards against an owner that still starts calls after another process took the shard over. */
  @Test
  void writeConflictEndsTheOwnershipAndRefusesPendingCalls() {
    acquireShard();
    on(new ShardEvent.Arrived(1, callId(1), NOW_MILLIS, 7));
    ShardRecord renewedRecord =
        writtenRecord(owner.on(new ShardEvent.Tick(), instantAt(NOW_MILLIS + 1000)));

    assertThat(on(new ShardEvent.WriteConflict(renewedRecord.writeId())))
        .containsExactly(new ShardAction.Reply(1, Verdict.NOT_OWNER, null), new ShardAction.Lost());
    assertThat(on(new ShardEvent.Granted(1))).isEmpty();
    assertThat(owner.state()).isEqualTo("unowned");
  }

  /** Guards against losing the shard when a write took effect but its answer was lost. */
  @Test
  void unansweredWriteIsConfirmedByItsWriteId() {
    acquireShard();
    on(new ShardEvent.Arrived(1, callId(1), NOW_MILLIS, 7));
    ShardRecord renewedRecord =
        writtenRecord(owner.on(new ShardEvent.Tick(), instantAt(NOW_MILLIS + 1000)));
    owner.on(new ShardEvent.WriteUnanswered(renewedRecord.writeId()), instantAt(NOW_MILLIS + 1000));

    assertThat(owner.on(new ShardEvent.Tick(), instantAt(NOW_MILLIS + 1200)))
        .containsExactly(new ShardAction.WriteRecord(1, renewedRecord));
    assertThat(on(new ShardEvent.WriteConflict(renewedRecord.writeId())))
        .containsExactly(new ShardAction.ReadRecord());
    on(new ShardEvent.RecordRead(renewedRecord, 2, Map.of()));
    assertThat(owner.state()).isEqualTo("owned");
  }

  /** Guards against a release that interrupts a call or leaves an ambiguous range behind. */
  @Test
  void releaseWaitsForRunningCallsAndWritesAnEmptyKeyWindow() {
    acquireShard();
    on(new ShardEvent.Arrived(1, callId(1), NOW_MILLIS, 7));
    on(new ShardEvent.Granted(1));

    assertThat(on(new ShardEvent.Release())).isEmpty();
    List<ShardAction> actions =
        on(new ShardEvent.Finished(1, CallRecord.State.ANSWERED, new byte[0]));
    ShardRecord releasedRecord = writtenRecord(actions.subList(1, 2));
    assertThat(releasedRecord.keyWindow().isEmpty()).isTrue();
    assertThat(releasedRecord.calls()).containsKey(callId(1));
    assertThat(on(new ShardEvent.WriteAcknowledged(releasedRecord.writeId(), 2)))
        .containsExactly(new ShardAction.Released());
  }

  /** Guards against a settlement that is reported but that a later owner doesn't know. */
  @Test
  void settlementIsReportedOnlyAfterItWasWritten() {
    acquireShard();
    on(new ShardEvent.Tick());
    List<ShardAction> actions =
        owner.on(new ShardEvent.Settle(5, callId(1), NOW_MILLIS), instantAt(NOW_MILLIS + 100));
    ShardRecord writtenRecord = writtenRecord(actions);

    assertThat(writtenRecord.calls())
        .containsEntry(callId(1), new CallRecord(CallRecord.State.NOT_RUN, NOW_MILLIS, 0, null));
    assertThat(on(new ShardEvent.WriteAcknowledged(writtenRecord.writeId(), 2)))
        .contains(new ShardAction.Settled(5, Verdict.SETTLED_NOT_RUN, null));
    assertThat(on(new ShardEvent.Arrived(1, callId(1), NOW_MILLIS, 7)))
        .containsExactly(new ShardAction.Reply(1, Verdict.SETTLED_NOT_RUN, null));
  }

  /** Guards against answering a second settle request before the settlement is written. */
  @Test
  void secondSettleRequestWaitsForTheSettlementsWrite() {
    acquireShard();
    ShardRecord writtenRecord =
        writtenRecord(
            owner.on(new ShardEvent.Settle(5, callId(1), NOW_MILLIS), instantAt(NOW_MILLIS + 100)));

    assertThat(on(new ShardEvent.Settle(6, callId(1), NOW_MILLIS))).isEmpty();
    assertThat(on(new ShardEvent.WriteAcknowledged(writtenRecord.writeId(), 2)))
        .contains(new ShardAction.Settled(5, Verdict.SETTLED_NOT_RUN, null))
        .doesNotContain(new ShardAction.Settled(6, Verdict.SETTLED_NOT_RUN, null));
  }

  /** Guards against running a key whose call record may have been removed already. */
  @Test
  void keyOlderThanRecordedCallsIsNeverRun() {
    acquireShard();
    long expiredKeyMillis = NOW_MILLIS - ShardSettings.defaults().keyLifetime().toMillis() - 1;

    assertThat(on(new ShardEvent.Arrived(1, callId(1), expiredKeyMillis, 7)))
        .containsExactly(new ShardAction.Reply(1, Verdict.KEY_TOO_OLD, null));
  }

  private void acquireShard() {
    on(new ShardEvent.Claim());
    ShardRecord writtenRecord = writtenRecord(on(new ShardEvent.RecordRead(null, 0, Map.of())));
    on(new ShardEvent.WriteAcknowledged(writtenRecord.writeId(), 1));
  }

  private List<ShardAction> on(ShardEvent event) {
    return owner.on(event, instantAt(NOW_MILLIS));
  }

  private static Instant instantAt(long epochMillis) {
    return Instant.ofEpochMilli(epochMillis);
  }

  private static ShardRecord writtenRecord(List<ShardAction> actions) {
    assertThat(actions).hasSize(1);
    assertThat(actions.get(0)).isInstanceOf(ShardAction.WriteRecord.class);
    return ((ShardAction.WriteRecord) actions.get(0)).record();
  }

  private static CallId callId(int number) {
    return new CallId(number, number);
  }

  private static ShardRecord formerRecord(long epoch, TimeRange keyWindow) {
    return new ShardRecord(
        epoch, "b#1", "x", "w", keyWindow, List.of(), NOW_MILLIS - 60_000, List.of(), Map.of());
  }
}
