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

/** Guards against an exit with calls in flight and against a stop that never ends. */
class DrainMachineTest {
  private static final Instant START = Instant.ofEpochSecond(1000);
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
  void stopWaitsForCallsAndShards() {
    assertThat(machine.on(new DrainEvent.Stop(), START)).containsExactly(DrainAction.REFUSE_CALLS);
    assertThat(machine.on(new DrainEvent.Idle(), START))
        .containsExactly(DrainAction.RELEASE_SHARDS);
    assertThat(machine.on(new DrainEvent.Released(), START)).containsExactly(DrainAction.EXIT);
    assertThat(machine.timedOut()).isFalse();
  }

  /** With the store away the release can't end, but the process must. */
  @Test
  void releaseIsGivenUpAfterItsTime() {
    machine.on(new DrainEvent.Stop(), START);
    machine.on(new DrainEvent.Idle(), START);
    assertThat(machine.on(new DrainEvent.Tick(), START.plusMillis(1999))).isEmpty();
    assertThat(machine.on(new DrainEvent.Tick(), START.plusMillis(2000)))
        .containsExactly(DrainAction.EXIT);
    assertThat(machine.timedOut()).isTrue();
  }

  /** One source that withdraws its wish must not end another's drain. */
  @Test
  void drainLastsWhileAnySourceWantsIt() {
    machine.on(new DrainEvent.Requested("configuration"), START);
    machine.on(new DrainEvent.Requested("host list"), START);
    assertThat(machine.on(new DrainEvent.Withdrawn("configuration"), START)).isEmpty();
    assertThat(machine.accepting()).isFalse();
    assertThat(machine.on(new DrainEvent.Withdrawn("host list"), START))
        .containsExactly(DrainAction.ACCEPT_CALLS);
  }

  /** Whatever comes, a stopping process takes no call again and exits once, after its time. */
  @Property(tries = 500, seed = "42")
  void everyStopEndsOnceAndWithoutNewCalls(
      @ForAll @Size(max = 30) List<@IntRange(max = 7) Integer> numbers) {
    DrainMachine any = DrainMachine.of(SETTINGS);
    Instant now = START;
    boolean stopping = false;
    int exits = 0;
    for (int number : numbers) {
      now = now.plusMillis(300);
      List<DrainAction> actions = any.on(EVENTS.get(number), now);
      stopping |= EVENTS.get(number) instanceof DrainEvent.Stop;
      if (stopping) {
        assertThat(any.accepting()).isFalse();
        assertThat(actions).doesNotContain(DrainAction.ACCEPT_CALLS);
      }
      exits += actions.contains(DrainAction.EXIT) ? 1 : 0;
    }
    any.on(new DrainEvent.Stop(), now);
    for (int i = 0; i < 2; i++) {
      now = now.plusSeconds(30);
      exits += any.on(new DrainEvent.Tick(), now).contains(DrainAction.EXIT) ? 1 : 0;
    }
    assertThat(exits).isEqualTo(1);
    assertThat(any.state()).isEqualTo("stopped");
  }
}
