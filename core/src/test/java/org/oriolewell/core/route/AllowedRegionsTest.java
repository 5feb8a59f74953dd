package org.oriolewell.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against an intersection of allowed regions that allows more than one of them. */
class AllowedRegionsTest {
  @Test
  void restrictionsOfRouteAndWorkspaceBothApply() {
    AllowedRegions firstTwo = AllowedRegions.of(Set.of("r1", "r2"));
    AllowedRegions lastTwo = AllowedRegions.of(Set.of("r2", "r3"));

    assertThat(firstTwo.and(lastTwo)).isEqualTo(AllowedRegions.of(Set.of("r2")));
    assertThat(firstTwo.and(AllowedRegions.ALL)).isEqualTo(firstTwo);
    assertThat(AllowedRegions.ALL.and(firstTwo)).isEqualTo(firstTwo);
    assertThat(AllowedRegions.ALL.and(AllowedRegions.ALL).permits("r1")).isTrue();
  }

  @Test
  void restrictionsWithoutCommonRegionAllowNone() {
    AllowedRegions none = AllowedRegions.of(Set.of("r1")).and(AllowedRegions.of(Set.of("r2")));

    assertThat(none.permits("r1")).isFalse();
    assertThat(none.permits("r2")).isFalse();
    assertThat(none.permits("")).isFalse();
  }
}
