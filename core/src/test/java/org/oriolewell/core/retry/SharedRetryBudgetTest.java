package org.oriolewell.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the fleet's limit on retries, which must not grow with the number of gateways. */
class SharedRetryBudgetTest {
  private static final double FLEET_RATIO = 0.2;
  private static final double FLEET_SLACK = 50;
  private static final Duration WINDOW = Duration.ofSeconds(10);

  /** Simulates an outage of two windows, in which every gateway retries each first attempt. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 31})
  void fleetStaysWithinItsRetryLimitInEachWindow(int gatewayCount) {
    List<SharedRetryBudget> gatewayBudgets =
        IntStream.range(0, gatewayCount)
            .mapToObj(
                i -> SharedRetryBudget.create(FLEET_RATIO, FLEET_SLACK, WINDOW, () -> gatewayCount))
            .toList();
    int attemptsPerWindow = 310;
    for (int window = 0; window < 2; window++) {
      int retries = 0;
      for (int i = 0; i < attemptsPerWindow; i++) {
        long now = WINDOW.toNanos() * window + WINDOW.toNanos() * i / attemptsPerWindow;
        SharedRetryBudget gatewayBudget = gatewayBudgets.get(i % gatewayCount);
        gatewayBudget.attempted("service");
        if (gatewayBudget.tryTake("service", now)) {
          retries++;
        }
      }
      assertThat(retries)
          .isLessThanOrEqualTo((int) (FLEET_RATIO * attemptsPerWindow + FLEET_SLACK));
      assertThat(retries).as("retries are still made").isGreaterThan(20);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 31})
  void retryBurstAfterSuccessesStaysWithinFleetSlack(int gatewayCount) {
    int retries = 0;
    for (int gateway = 0; gateway < gatewayCount; gateway++) {
      SharedRetryBudget budget =
          SharedRetryBudget.create(FLEET_RATIO, FLEET_SLACK, WINDOW, () -> gatewayCount);
      IntStream.range(0, 1000).forEach(i -> budget.attempted("service"));
      for (int i = 0; i < 50; i++) {
        retries += budget.tryTake("service", WINDOW.toNanos() * 9) ? 1 : 0;
      }
    }
    assertThat(retries).isLessThanOrEqualTo((int) FLEET_SLACK);
  }
}
