package org.oriolewell.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against an agent that exits with calls in flight, and against a stop that never ends. */
class DrainMachineTest {
  private static final Instant START_TIME = Instant.ofEpochSecond(1000);
  private static final DrainSettings SETTINGS =
      new DrainSettings(Duration.ofSeconds(30), Duration.ofSeconds(2));
  private static final List<DrainEvent> EVENTS =
      List.of(
          new DrainEvent.Requested("configuration"),
          new DrainEvent.Withdrawn("configuration"),
          new DrainEvent.Requested("host list"),
          new DrainEvent.Withdrawn("host list"),
          new DrainEvent.Stop(),
          new DrainEvent.Idle(),
          new DrainEvent.Released(),
          new DrainEvent.Tick());

  private final DrainMachine machine = DrainMachine.of(SETTINGS);

  /** An exit before the calls end would interrupt requests in flight. */
  @Test
  void stopWaitsForCallsThenReleasesShardsThenExits() {
    assertThat(machine.on(new DrainEvent.Stop(), START_TIME))
        .containsExactly(DrainAction.REFUSE_CALLS);
    assertThat(machine.on(new DrainEvent.Idle(), START_TIME))
        .containsExactly(DrainAction.RELEASE_SHARDS);
    assertThat(machine.on(new DrainEvent.Released(), START_TIME)).containsExactly(DrainAction.EXIT);
    assertThat(machine.timedOut()).isFalse();
  }

  /** While the store is unreachable the shards can't be released, but the process must exit. */
  @Test
  void processExitsWhenTheReleaseTimeLimitPasses() {
    machine.on(new DrainEvent.Stop(), START_TIME);
    machine.on(new DrainEvent.Idle(), START_TIME);
    assertThat(machine.on(new DrainEvent.Tick(), START_TIME.plusMillis(1999))).isEmpty();
    assertThat(machine.on(new DrainEvent.Tick(), START_TIME.plusMillis(2000)))
        .containsExactly(DrainAction.EXIT);
    assertThat(machine.timedOut()).isTrue();
  }

  /** A source that withdraws its drain request must not end the drain of another source. */
  @Test
  void drainLastsUntilAllSourcesWithdraw() {
    machine.on(new DrainEvent.Requested("configuration"), START_TIME);
    machine.on(new DrainEvent.Requested("host list"), START_TIME);
    assertThat(machine.on(new DrainEvent.Withdrawn("configuration"), START_TIME)).isEmpty();
    assertThat(machine.acceptsCalls()).isFalse();
    assertThat(machine.on(new DrainEvent.Withdrawn("host list"), START_TIME))
        .containsExactly(DrainAction.ACCEPT_CALLS);
  }

  /** After a stop, any order of events leads to exactly one exit and no accepted call. */
  @Property(tries = 500, seed = "42")
  void everyStopExitsOnceAndAcceptsNoNewCalls(
      @ForAll @Size(max = 30) List<@IntRange(max = 7) Integer> eventIndexes) {
    DrainMachine machineUnderTest = DrainMachine.of(SETTINGS);
    Instant now = START_TIME;
    boolean stopRequested = false;
    int exitCount = 0;
    for (int eventIndex : eventIndexes) {
      now = now.plusMillis(300);
      List<DrainAction> actions = machineUnderTest.on(EVENTS.get(eventIndex), now);
      stopRequested |= EVENTS.get(eventIndex) instanceof DrainEvent.Stop;
      if (stopRequested) {
        assertThat(machineUnderTest.acceptsCalls()).isFalse();
        assertThat(actions).doesNotContain(DrainAction.ACCEPT_CALLS);
      }
      exitCount += actions.contains(DrainAction.EXIT) ? 1 : 0;
    }
    machineUnderTest.on(new DrainEvent.Stop(), now);
    for (int i = 0; i < 2; i++) {
      now = now.plusSeconds(30);
      exitCount +=
          machineUnderTest.on(new DrainEvent.Tick(), now).contains(DrainAction.EXIT) ? 1 : 0;
    }
    assertThat(exitCount).isEqualTo(1);
    assertThat(machineUnderTest.state()).isEqualTo("stopped");
  }
}
