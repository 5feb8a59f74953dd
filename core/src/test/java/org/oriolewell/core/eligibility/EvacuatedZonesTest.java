package org.oriolewell.core.eligibility;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against an evacuation that ends because a restored store lacks its key. */
class EvacuatedZonesTest {
  private final EvacuatedZones zones = EvacuatedZones.create();

  @Test
  void missingOrderStaysInForceUntilHistoryIsSettled() {
    zones.ordered("z1");
    zones.ordered("z2");

    assertThat(zones.reread(Set.of("z2"), false)).containsExactly("z1");
    assertThat(zones.contains("z1")).isTrue();
    assertThat(zones.settled()).containsExactly("z1");
    assertThat(zones.contains("z1")).isFalse();
    assertThat(zones.contains("z2")).isTrue();
  }

  @Test
  void orderThatIsWrittenAgainOutlivesTheUnsettledHistory() {
    zones.ordered("z1");
    zones.reread(Set.of(), false);

    assertThat(zones.ordered("z1")).isFalse();
    assertThat(zones.settled()).isEmpty();
    assertThat(zones.contains("z1")).isTrue();
  }

  @Test
  void orderThatSettledHistoryLacksEnds() {
    zones.ordered("z1");

    assertThat(zones.reread(Set.of(), true)).containsExactly("z1");
    assertThat(zones.size()).isZero();
  }
}
