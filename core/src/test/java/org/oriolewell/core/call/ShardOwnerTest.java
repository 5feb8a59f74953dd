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

/** Guards against a non-idempotent call that runs twice, or runs after it was reported not run. */
class ShardOwnerTest {
  private static final long NOW = 1_700_000_000_000L;
  private static final int HISTORIES = 3000;
  private static final int STEPS = 800;

  private final ShardOwner owner =
      ShardOwner.of("calls/p/0", "a#1", "127.0.0.1:1", ShardSettings.defaults());

  @Test
  void noCallRunsTwiceInRandomHistories() {
    int answered = 0;
    for (long seed = 1; seed <= HISTORIES; seed++) {
      ShardHistory history = new ShardHistory(seed, ShardHistory.Sabotage.NONE);
      assertThat(history.run(STEPS)).as("violations with seed %d", seed).isEmpty();
      answered += history.answered();
    }
    assertThat(answered).as("calls answered over all histories").isGreaterThan(HISTORIES);
  }

  /** Guards against a history that could not find a violation: each sabotage must produce one. */
  @ParameterizedTest
  @EnumSource(value = ShardHistory.Sabotage.class, mode = Mode.EXCLUDE, names = "NONE")
  void sabotagedHistoriesShowViolations(ShardHistory.Sabotage sabotage) {
    boolean found = false;
    for (long seed = 1; seed <= HISTORIES && !found; seed++) {
      found = !new ShardHistory(seed, sabotage).run(STEPS).isEmpty();
    }
    assertThat(found).as("a violation with %s", sabotage).isTrue();
  }

  @Test
  void newKeyRunsAfterOneGrantWithoutFurtherWrites() {
    acquire();

    List<ShardAction> asked = on(new ShardEvent.Arrived(1, id(1), NOW, 7));
    List<ShardAction> granted = on(new ShardEvent.Granted(1));

    assertThat(asked).containsExactly(new ShardAction.AskStart(1, 1));
    assertThat(granted).containsExactly(new ShardAction.Run(1));
  }

  /** Guards against two runs for a caller that retries while its first call still runs. */
  @Test
  void retryWhileRunningWaitsForTheFirstCallsOutcome() {
    acquire();
    on(new ShardEvent.Arrived(1, id(1), NOW, 7));
    on(new ShardEvent.Granted(1));

    assertThat(on(new ShardEvent.Arrived(2, id(1), NOW, 7))).isEmpty();
    byte[] output = {1};
    assertThat(on(new ShardEvent.Finished(1, CallRecord.State.ANSWERED, output)))
        .containsExactly(
            new ShardAction.Reply(1, Verdict.ANSWERED, output),
            new ShardAction.Reply(2, Verdict.ANSWERED, output));
  }

  @Test
  void sameKeyWithAnotherBodyIsRefused() {
    acquire();
    on(new ShardEvent.Arrived(1, id(1), NOW, 7));

    assertThat(on(new ShardEvent.Arrived(2, id(1), NOW, 8)))
        .containsExactly(new ShardAction.Reply(2, Verdict.KEY_CONFLICT, null));
  }

  /** Guards against a takeover that runs a key which the former owner may have run. */
  @Test
  void keyInTheFormerOwnersWindowIsUnknownAfterTakeover() {
    ShardRecord old = record(3, new TimeRange(NOW - 1000, NOW + 500));
    on(new ShardEvent.Claim());
    ShardRecord written = written(on(new ShardEvent.RecordRead(old, 9, Map.of())));
    on(new ShardEvent.WriteAcknowledged(written.writeId(), 10));

    assertThat(written.epoch()).isEqualTo(4);
    assertThat(on(new ShardEvent.Arrived(1, id(1), NOW, 7)))
        .containsExactly(new ShardAction.Reply(1, Verdict.UNKNOWN, null));
    assertThat(on(new ShardEvent.Arrived(2, id(2), NOW + 501, 7)))
        .containsExactly(new ShardAction.AskStart(2, 4));
  }

  /** Guards against lost records when a segment's name was reused. */
  @Test
  void overwrittenSegmentMakesItsKeyTimesAmbiguous() {
    TimeRange range = new TimeRange(NOW - 5000, NOW - 4000);
    ShardRecord old =
        new ShardRecord(
            3,
            null,
            null,
            "w",
            TimeRange.EMPTY,
            List.of(),
            NOW - 60_000,
            List.of(new Segment.Reference("s", "expected", range)),
            Map.of());
    on(new ShardEvent.Claim());
    ShardRecord written =
        written(
            on(new ShardEvent.RecordRead(old, 9, Map.of("s", new Segment("another", Map.of())))));

    assertThat(written.ambiguous()).containsExactly(range);
  }

  /** Guards against an owner that goes on after another process took the shard over. */
  @Test
  void conflictingWriteEndsTheOwnershipAndRefusesWaitingCalls() {
    acquire();
    on(new ShardEvent.Arrived(1, id(1), NOW, 7));
    ShardRecord renewal = written(owner.on(new ShardEvent.Tick(), at(NOW + 1000)));

    assertThat(on(new ShardEvent.WriteConflict(renewal.writeId())))
        .containsExactly(new ShardAction.Reply(1, Verdict.NOT_OWNER, null), new ShardAction.Lost());
    assertThat(on(new ShardEvent.Granted(1))).isEmpty();
    assertThat(owner.state()).isEqualTo("unowned");
  }

  /** Guards against taking a write whose answer was lost for one that failed. */
  @Test
  void lostAnswerIsSettledByTheWriteId() {
    acquire();
    on(new ShardEvent.Arrived(1, id(1), NOW, 7));
    ShardRecord renewal = written(owner.on(new ShardEvent.Tick(), at(NOW + 1000)));
    owner.on(new ShardEvent.WriteUnanswered(renewal.writeId()), at(NOW + 1000));

    assertThat(owner.on(new ShardEvent.Tick(), at(NOW + 1200)))
        .containsExactly(new ShardAction.WriteRecord(1, renewal));
    assertThat(on(new ShardEvent.WriteConflict(renewal.writeId())))
        .containsExactly(new ShardAction.ReadRecord());
    on(new ShardEvent.RecordRead(renewal, 2, Map.of()));
    assertThat(owner.state()).isEqualTo("owned");
  }

  /** Guards against a planned stop that cuts off a call, or leaves an ambiguous range behind. */
  @Test
  void releaseWaitsForRunningCallsAndLeavesAnEmptyWindow() {
    acquire();
    on(new ShardEvent.Arrived(1, id(1), NOW, 7));
    on(new ShardEvent.Granted(1));

    assertThat(on(new ShardEvent.Release())).isEmpty();
    List<ShardAction> actions =
        on(new ShardEvent.Finished(1, CallRecord.State.ANSWERED, new byte[0]));
    ShardRecord released = written(actions.subList(1, 2));
    assertThat(released.window().isEmpty()).isTrue();
    assertThat(released.calls()).containsKey(id(1));
    assertThat(on(new ShardEvent.WriteAcknowledged(released.writeId(), 2)))
        .containsExactly(new ShardAction.Released());
  }

  /** Guards against a settlement that a later owner doesn't know of. */
  @Test
  void settlementIsReportedOnlyAfterItWasWritten() {
    acquire();
    on(new ShardEvent.Tick());
    List<ShardAction> actions = owner.on(new ShardEvent.Settle(5, id(1), NOW), at(NOW + 100));
    ShardRecord written = written(actions);

    assertThat(written.calls())
        .containsEntry(id(1), new CallRecord(CallRecord.State.NOT_RUN, NOW, 0, null));
    assertThat(on(new ShardEvent.WriteAcknowledged(written.writeId(), 2)))
        .contains(new ShardAction.Settled(5, Verdict.SETTLED_NOT_RUN, null));
    assertThat(on(new ShardEvent.Arrived(1, id(1), NOW, 7)))
        .containsExactly(new ShardAction.Reply(1, Verdict.SETTLED_NOT_RUN, null));
  }

  /** Guards against a second question that is answered before the settlement is written. */
  @Test
  void secondQuestionWaitsForTheSettlementsWrite() {
    acquire();
    ShardRecord written = written(owner.on(new ShardEvent.Settle(5, id(1), NOW), at(NOW + 100)));

    assertThat(on(new ShardEvent.Settle(6, id(1), NOW))).isEmpty();
    assertThat(on(new ShardEvent.WriteAcknowledged(written.writeId(), 2)))
        .contains(new ShardAction.Settled(5, Verdict.SETTLED_NOT_RUN, null))
        .doesNotContain(new ShardAction.Settled(6, Verdict.SETTLED_NOT_RUN, null));
  }

  /** Guards against running a key whose record may have been dropped already. */
  @Test
  void keyOlderThanTheRecordIsNeverRun() {
    acquire();
    long old = NOW - ShardSettings.defaults().lifetime().toMillis() - 1;

    assertThat(on(new ShardEvent.Arrived(1, id(1), old, 7)))
        .containsExactly(new ShardAction.Reply(1, Verdict.KEY_TOO_OLD, null));
  }

  private void acquire() {
    on(new ShardEvent.Claim());
    ShardRecord written = written(on(new ShardEvent.RecordRead(null, 0, Map.of())));
    on(new ShardEvent.WriteAcknowledged(written.writeId(), 1));
  }

  private List<ShardAction> on(ShardEvent event) {
    return owner.on(event, at(NOW));
  }

  private static Instant at(long millis) {
    return Instant.ofEpochMilli(millis);
  }

  private static ShardRecord written(List<ShardAction> actions) {
    assertThat(actions).hasSize(1);
    assertThat(actions.get(0)).isInstanceOf(ShardAction.WriteRecord.class);
    return ((ShardAction.WriteRecord) actions.get(0)).record();
  }

  private static CallId id(int number) {
    return new CallId(number, number);
  }

  private static ShardRecord record(long epoch, TimeRange window) {
    return new ShardRecord(
        epoch, "b#1", "x", "w", window, List.of(), NOW - 60_000, List.of(), Map.of());
  }
}
