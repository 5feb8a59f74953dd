package org.oriolewell.loadtool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import org.junit.jupiter.api.Test;

/** Guards against arrivals that aren't Poisson, can't be repeated or ignore phases. */
class ArrivalsTest {
  private static final String WORKLOAD =
      """
      seed = 5
      duration_ms = 100000
      [[traffic]]
      pipeline = "p"
      workspace = "a"
      rate = 100
      keys = "uuid"
      prefix_bytes = 64
      prefix_groups = 4
      [[traffic]]
      pipeline = "p"
      workspace = "b"
      rate = 50
      keys = "time"
      [[phase]]
      from_ms = 20000
      to_ms = 40000
      factor = 3
      match = "b"
      """;

  private static List<Arrival> arrivals(String toml) throws Exception {
    List<Arrival> list = new ArrayList<>();
    new Arrivals(WorkloadFile.parse(toml)).forEachRemaining(list::add);
    return list;
  }

  /** Guards against runs that can't be compared since their arrivals differ. */
  @Test
  void sameSeedGivesSameArrivals() throws Exception {
    assertThat(arrivals(WORKLOAD)).isEqualTo(arrivals(WORKLOAD));
    assertThat(arrivals(WORKLOAD))
        .isNotEqualTo(arrivals(WORKLOAD.replace("seed = 5", "seed = 6")))
        .isSortedAccordingTo((a, b) -> Long.compare(a.offsetNanos(), b.offsetNanos()));
  }

  /** Guards against a wrong rate, and against even spacing, which hides queues. */
  @Test
  void gapsAreExponentialWithTheMeanOfTheRate() throws Exception {
    List<Long> gaps = new ArrayList<>();
    long last = 0;
    for (Arrival arrival : arrivals(WORKLOAD)) {
      if (arrival.traffic().workspace().equals("a")) {
        gaps.add(arrival.offsetNanos() - last);
        last = arrival.offsetNanos();
      }
    }
    double mean = gaps.stream().mapToLong(g -> g).average().orElseThrow();
    double variance = gaps.stream().mapToDouble(g -> (g - mean) * (g - mean)).average().orElse(0);

    assertThat(mean).isBetween(9.5e6, 10.5e6);
    assertThat(Math.sqrt(variance) / mean).isBetween(0.95, 1.05);
  }

  /** Guards against phases that affect other traffic or other times. */
  @Test
  void phaseMultipliesTheRateOfItsTraffic() throws Exception {
    long inPhase = 0;
    long after = 0;
    for (Arrival arrival : arrivals(WORKLOAD)) {
      if (arrival.traffic().workspace().equals("b")) {
        long second = arrival.offsetNanos() / 1_000_000_000;
        inPhase += second >= 20 && second < 40 ? 1 : 0;
        after += second >= 40 && second < 60 ? 1 : 0;
      }
    }
    assertThat(inPhase).isBetween(2750L, 3250L);
    assertThat(after).isBetween(900L, 1100L);
  }

  /** Guards against keys that repeat or that the entry would refuse, and unshared prefixes. */
  @Test
  void keysAreDistinctAndInputsSharePrefixes() throws Exception {
    Set<String> keys = new HashSet<>();
    Set<String> prefixes = new HashSet<>();
    Set<String> inputs = new HashSet<>();
    List<Arrival> arrivals = arrivals(WORKLOAD);
    for (Arrival arrival : arrivals) {
      String key = RequestContent.key(arrival, 1_796_357_226_695L);
      assertThat(keys.add(key)).isTrue();
      inputs.add(RequestContent.input(arrival));
      if (arrival.traffic().workspace().equals("a")) {
        assertThat(UUID.fromString(key).version()).isEqualTo(7);
        assertThat(UUID.fromString(key).getMostSignificantBits() >>> 16)
            .isEqualTo(1_796_357_226_695L);
        prefixes.add(RequestContent.input(arrival).substring(0, 64));
      } else {
        assertThat(key).startsWith("1796357226695-");
      }
    }
    assertThat(prefixes).hasSize(4);
    assertThat(inputs).hasSameSizeAs(arrivals);
  }

  /** Guards against misspelt workloads that silently send something else. */
  @Test
  void refusesUnknownAndWrongMembers() {
    assertThatThrownBy(
            () -> WorkloadFile.parse("sed = 1\n[[traffic]]\npipeline = \"p\"\nrate = -2"))
        .hasMessageContaining("sed is not known")
        .hasMessageContaining("traffic[0].workspace is missing")
        .hasMessageContaining("traffic[0].rate must be");
  }
}
