package org.oriolewell.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.roster.UpstreamInstance;

/** Guards against lost prompt affinity, hot engines, and upstreams that fail fast. */
class PlacementTest {
  private static final long SECOND = 1_000_000_000;
  private static final List<UpstreamInstance> ENGINES =
      IntStream.range(0, 5)
          .mapToObj(
              i -> new UpstreamInstance("e" + i, 1, "engine", "h:" + i, "z" + i % 2, 8, false))
          .toList();

  private final UpstreamHealth health = UpstreamHealth.create();
  private final Placement placement = Placement.of(health, new SplittableRandom(1));

  private String engine(long affinity) {
    return placement.byAffinity(ENGINES, affinity, Set.of(), SECOND).orElseThrow().id();
  }

  @Test
  void samePromptGoesToSameEngine() {
    assertThat(engine(42)).isEqualTo(engine(42));
    assertThat(IntStream.range(0, 200).mapToObj(i -> engine(i * 7919L)).distinct()).hasSize(5);
  }

  @Test
  void overloadedEngineIsPassedOver() {
    String usual = engine(42);
    IntStream.range(0, 10).forEach(i -> health.started(usual));

    assertThat(engine(42)).isNotEqualTo(usual);
  }

  @Test
  void upstreamThatFailsIsAvoidedAndTriedAgainLater() {
    health.failed("e0", 1, SECOND);
    health.started("e0");
    List<UpstreamInstance> two = ENGINES.subList(0, 2);

    assertThat(placement.leastLoaded(two, any -> 0, Set.of(), SECOND).orElseThrow().id())
        .isEqualTo("e1");
    health.ended("e0");
    health.started("e1");
    health.started("e1");
    IntStream.range(0, 20).forEach(i -> health.started("e1"));
    assertThat(placement.leastLoaded(two, any -> 0, Set.of(), 20 * SECOND).orElseThrow().id())
        .isEqualTo("e0");
  }

  @Test
  void triedUpstreamIsNotTakenAgain() {
    assertThat(placement.leastLoaded(ENGINES.subList(0, 1), any -> 0, Set.of("e0"), SECOND))
        .isEmpty();
  }

  @Test
  void nearUpstreamIsTakenUntilItIsLoaded() {
    List<UpstreamInstance> two = ENGINES.subList(0, 2);
    Placement.Distance distance = upstream -> upstream.zone().equals("z0") ? 0 : 0.25;
    assertThat(placement.leastLoaded(two, distance, Set.of(), SECOND).orElseThrow().id())
        .isEqualTo("e0");
    IntStream.range(0, 4).forEach(i -> health.started("e0"));

    assertThat(placement.leastLoaded(two, distance, Set.of(), SECOND).orElseThrow().id())
        .isEqualTo("e1");
  }
}
