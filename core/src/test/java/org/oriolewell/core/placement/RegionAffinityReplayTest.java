package org.oriolewell.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.overload.StageAdmission;
import org.oriolewell.core.overload.StageAdmission.Decision;
import org.oriolewell.core.overload.StageAdmission.Estimate;
import org.oriolewell.core.routing.Hashing;

/**
 * Replays requests whose large shared prompt parts arrive in two regions, and guards against each
 * region reading them for itself while the regions have time, and against a request that leaves its
 * region for a small part or for a loaded home region.
 */
class RegionAffinityReplayTest {
  private static final List<String> REGIONS = List.of("south", "north");
  private static final Map<String, Integer> ENGINES = Map.of("south", 20, "north", 20);
  private static final PromptSize LARGE = new PromptSize(9200, 6300, 50);
  private static final PromptSize SMALL = new PromptSize(2400, 570, 30);

  private static String choose(String own, long prefix, PromptSize size, double homeMillis) {
    String home = RegionAffinity.home(prefix, ENGINES).orElseThrow();
    List<Estimate> estimates =
        REGIONS.stream()
            .map(
                region -> {
                  double millis = region.equals(home) ? homeMillis : 500;
                  double cost =
                      region.equals(home) ? 0 : RegionAffinity.costOutsideHomeMillis(size);
                  return new Estimate(region, region.equals(own), millis, millis, cost);
                })
            .toList();
    return ((Decision.Accept) StageAdmission.decide(estimates, 1015, 6000)).region();
  }

  /** Returns the number of reads of parts that the other region has read within 10 s. */
  private static int repeatedReads(boolean ownRegionOnly) {
    SplittableRandom random = new SplittableRandom(7);
    Map<String, Double> lastReadAt = new HashMap<>();
    int repeated = 0;
    for (double second = 0; second < 60; second += 1 / 40.0) {
      long prefix = Hashing.mix(1 + random.nextInt(200));
      String own = REGIONS.get(random.nextInt(2));
      String region = ownRegionOnly ? own : choose(own, prefix, LARGE, 500);
      String other = region.equals("south") ? "north" : "south";
      boolean cached = second - lastReadAt.getOrDefault(region + prefix, -1e9) < 10;
      repeated += !cached && second - lastReadAt.getOrDefault(other + prefix, -1e9) < 10 ? 1 : 0;
      lastReadAt.put(region + prefix, second);
    }
    return repeated;
  }

  @Test
  void largeSharedPartIsReadInOneRegion() {
    assertThat(repeatedReads(true)).isGreaterThan(100);
    assertThat(repeatedReads(false)).isZero();
  }

  @Test
  void smallSharedPartStaysInRegionOfCaller() {
    for (long prefix = 1; prefix < 50; prefix++) {
      assertThat(choose("south", Hashing.mix(prefix), SMALL, 500)).isEqualTo("south");
    }
  }

  @Test
  void loadedHomeRegionIsAvoided() {
    for (long prefix = 1; prefix < 50; prefix++) {
      long mixed = Hashing.mix(prefix);
      String home = RegionAffinity.home(mixed, ENGINES).orElseThrow();
      String other = home.equals("south") ? "north" : "south";

      assertThat(choose(other, mixed, LARGE, 750)).isEqualTo(other);
      assertThat(choose(home, mixed, LARGE, 1100)).isEqualTo(other);
    }
  }

  @Test
  void promptWithoutSharedPartHasNoHome() {
    assertThat(RegionAffinity.home(0, ENGINES)).isEmpty();
    assertThat(RegionAffinity.costOutsideHomeMillis(PromptSize.UNKNOWN)).isZero();
  }

  @Test
  void regionIsHomeInProportionToItsEngines() {
    long southern = 0;
    for (long prefix = 1; prefix <= 3000; prefix++) {
      Map<String, Integer> engines = Map.of("south", 6, "north", 2);
      String home = RegionAffinity.home(Hashing.mix(prefix), engines).orElseThrow();
      southern += home.equals("south") ? 1 : 0;
    }

    assertThat(southern).isBetween(2100L, 2400L);
  }
}
