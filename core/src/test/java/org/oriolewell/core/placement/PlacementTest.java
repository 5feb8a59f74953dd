package org.oriolewell.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.capacity.CapacitySource;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.routing.Hashing;

/** Checks affinity by prompt prefix, bounded engine load, and avoidance of failing upstreams. */
class PlacementTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final List<UpstreamInstance> ENGINES =
      IntStream.range(0, 5)
          .mapToObj(
              i ->
                  new UpstreamInstance(
                      "e" + i, 1, "engine", new Ipv4SocketAddress(1, i), "z" + i % 2, 8, false))
          .toList();

  private final UpstreamHealth health = UpstreamHealth.create();
  private final Placement placement = Placement.of(health, new SplittableRandom(1));

  private String engineFor(long prefixHash) {
    return placement.byAffinity(ENGINES, prefixHash, Set.of(), NANOS_PER_SECOND).orElseThrow().id();
  }

  @Test
  void samePrefixGoesToSameEngine() {
    assertThat(engineFor(42)).isEqualTo(engineFor(42));
    assertThat(IntStream.range(0, 200).mapToObj(i -> engineFor(i * 7919L)).distinct()).hasSize(5);
  }

  @Test
  void overloadedEngineIsNotChosen() {
    String preferredEngine = engineFor(42);
    IntStream.range(0, 10).forEach(i -> health.started(preferredEngine));

    assertThat(engineFor(42)).isNotEqualTo(preferredEngine);
  }

  @Test
  void upstreamThatFailsIsAvoidedAndTriedAgainLater() {
    health.failed("e0", 1, NANOS_PER_SECOND);
    health.started("e0");
    List<UpstreamInstance> twoUpstreams = ENGINES.subList(0, 2);

    assertThat(
            placement
                .leastLoaded(twoUpstreams, upstream -> 0, Set.of(), NANOS_PER_SECOND)
                .orElseThrow()
                .id())
        .isEqualTo("e1");
    health.ended("e0");
    health.started("e1");
    health.started("e1");
    IntStream.range(0, 20).forEach(i -> health.started("e1"));
    assertThat(
            placement
                .leastLoaded(twoUpstreams, upstream -> 0, Set.of(), 20 * NANOS_PER_SECOND)
                .orElseThrow()
                .id())
        .isEqualTo("e0");
  }

  @Test
  void excludedUpstreamIsNotChosen() {
    assertThat(
            placement.leastLoaded(
                ENGINES.subList(0, 1), upstream -> 0, Set.of("e0"), NANOS_PER_SECOND))
        .isEmpty();
  }

  @Test
  void nearUpstreamIsChosenUntilLoaded() {
    List<UpstreamInstance> twoUpstreams = ENGINES.subList(0, 2);
    Placement.Distance distance = upstream -> upstream.zone().equals("z0") ? 0 : 0.25;
    assertThat(
            placement
                .leastLoaded(twoUpstreams, distance, Set.of(), NANOS_PER_SECOND)
                .orElseThrow()
                .id())
        .isEqualTo("e0");
    IntStream.range(0, 4).forEach(i -> health.started("e0"));

    assertThat(
            placement
                .leastLoaded(twoUpstreams, distance, Set.of(), NANOS_PER_SECOND)
                .orElseThrow()
                .id())
        .isEqualTo("e1");
  }

  /** Equal shares would give slow engines more work than they can do in time. */
  @Test
  void fasterEnginesGetMorePrefixesAndOtherPrefixesStay() {
    Map<String, OptionalInt> levels =
        Map.of("e0", OptionalInt.of(-3), "e1", OptionalInt.of(0), "e2", OptionalInt.of(3));
    Placement weighted =
        Placement.of(
            health,
            new CapacitySource() {
              @Override
              public OptionalInt level(String id, long now) {
                return levels.getOrDefault(id, OptionalInt.empty());
              }

              @Override
              public double load(String id, long now) {
                return 0;
              }
            },
            new SplittableRandom(1));
    double[] counts = new double[ENGINES.size()];
    for (int i = 0; i < 20_000; i++) {
      long prefix = Hashing.mix(i + 1);
      String chosen =
          weighted.byAffinity(ENGINES, prefix, Set.of(), NANOS_PER_SECOND).orElseThrow().id();
      counts[chosen.charAt(1) - '0']++;
      String before = engineFor(prefix);
      if (!before.equals("e0") && !chosen.equals("e2")) {
        assertThat(chosen).isEqualTo(before);
      }
    }

    assertThat(counts[0] / counts[1]).isCloseTo(0.64, within(0.05));
    assertThat(counts[2] / counts[1]).isCloseTo(1.56, within(0.12));
  }
}
