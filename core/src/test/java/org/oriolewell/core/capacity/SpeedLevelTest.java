package org.oriolewell.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against weights that follow the error of the measurement. */
class SpeedLevelTest {
  @Test
  void differenceOfOneLevelFromTheMedianCountsAsNone() {
    assertThat(SpeedLevel.weight(4, 5)).isEqualTo(1);
    assertThat(SpeedLevel.weight(6, 5)).isEqualTo(1);
    assertThat(SpeedLevel.weight(3, 5)).isLessThan(0.8);
    assertThat(SpeedLevel.weight(7, 5)).isGreaterThan(1.2);
  }
}
