package org.oriolewell.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the fleet's bound on second attempts, which must not grow with the number of nodes. */
class SharedRetryBudgetTest {
  private static final double RATIO = 0.2;
  private static final double SLACK = 50;
  private static final Duration WINDOW = Duration.ofSeconds(10);

  /** Replays an outage: each first attempt of each node asks for a second one, for two windows. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 31})
  void fleetStaysWithinItsBoundInEachWindow(int nodes) {
    List<SharedRetryBudget> fleet =
        IntStream.range(0, nodes)
            .mapToObj(i -> SharedRetryBudget.create(RATIO, SLACK, WINDOW, () -> nodes))
            .toList();
    int attemptsInWindow = 310;
    for (int window = 0; window < 2; window++) {
      int second = 0;
      for (int i = 0; i < attemptsInWindow; i++) {
        long now = WINDOW.toNanos() * window + WINDOW.toNanos() * i / attemptsInWindow;
        SharedRetryBudget node = fleet.get(i % nodes);
        node.attempted("service");
        if (node.tryTake("service", now)) {
          second++;
        }
      }
      assertThat(second).isLessThanOrEqualTo((int) (RATIO * attemptsInWindow + SLACK));
      assertThat(second).as("retries are still made").isGreaterThan(20);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 31})
  void burstAfterCalmStaysWithinTheConstantPart(int nodes) {
    int second = 0;
    for (int node = 0; node < nodes; node++) {
      SharedRetryBudget budget = SharedRetryBudget.create(RATIO, SLACK, WINDOW, () -> nodes);
      IntStream.range(0, 1000).forEach(i -> budget.attempted("service"));
      for (int i = 0; i < 50; i++) {
        second += budget.tryTake("service", WINDOW.toNanos() * 9) ? 1 : 0;
      }
    }
    assertThat(second).isLessThanOrEqualTo((int) SLACK);
  }
}
