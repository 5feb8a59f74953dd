package org.oriolewell.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the sums over gateways and what a gateway makes of them. */
class SharedCapacityTest {
  private static final long MILLI = 1_000_000;

  private final UnansweredWork ownWork = UnansweredWork.create();
  private final SharedCapacity own = SharedCapacity.of(ownWork);
  private final UnansweredWork otherWork = UnansweredWork.create();
  private final SharedCapacity other = SharedCapacity.of(otherWork);
  private final CapacityCollector collector = CapacityCollector.create();

  private void exchange(long now) {
    collector.reported("own", own.nextReport(now), now);
    collector.reported("other", other.nextReport(now), now);
    CapacitySums sums = collector.nextSums(now);
    own.received(sums, now);
    other.received(sums, now);
  }

  /** A gateway that doesn't count what it sends between two reports sends it all to one engine. */
  @Test
  void ownWorkSinceTheReportIsAddedToTheSum() {
    ownWork.sent("e", 1);
    otherWork.sent("e", 2.5);
    exchange(MILLI);
    assertThat(own.load("e", MILLI)).isEqualTo(3.5);

    ownWork.sent("e", 1);
    assertThat(own.load("e", MILLI)).isEqualTo(4.5);
    ownWork.answered("e", 1);
    ownWork.answered("e", 1);
    assertThat(own.load("e", MILLI)).isEqualTo(2.5);
  }

  /** Work of a gateway that has crashed must not be counted on. */
  @Test
  void reportsAndSumsThatAreOldAreNotUsed() {
    otherWork.sent("e", 4);
    exchange(MILLI);
    long later = 2000 * MILLI;
    collector.reported("own", own.nextReport(later), later);
    own.received(collector.nextSums(later), later);
    assertThat(own.load("e", later)).isZero();

    ownWork.sent("e", 1);
    assertThat(other.load("e", 5000 * MILLI)).isEqualTo(4);
    assertThat(other.ageMillis("e", 5000 * MILLI)).isEmpty();
  }

  /** Different levels at different gateways would spread a prompt prefix over several engines. */
  @Test
  void levelOfTheCollectorIsUsedByAllGateways() {
    for (int i = 0; i < 5; i++) {
      own.observe("e", 33 * MILLI, MILLI);
    }
    assertThat(other.level("e", MILLI)).isEmpty();
    exchange(MILLI);

    assertThat(other.level("e", MILLI)).hasValue(-3);
    assertThat(own.level("e", MILLI)).hasValue(-3);
  }

  @Test
  void unchangedSumsAreSentRarelyAndTheNumberIsBounded() {
    for (int i = 0; i < 100; i++) {
      ownWork.sent("e" + i, i + 1);
    }
    collector.reported("own", own.nextReport(MILLI), MILLI);

    assertThat(collector.nextSums(MILLI).upstreams()).hasSize(40);
    assertThat(collector.nextSums(MILLI).upstreams()).hasSize(40);
    assertThat(collector.nextSums(MILLI).upstreams()).hasSize(20);
    assertThat(collector.nextSums(MILLI).upstreams()).isEqualTo(List.of());
  }
}
