package org.oriolewell.core.eligibility;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewell.core.ratelimit.PermitIssuer;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.roster.UpstreamEntry;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.ColdStart;

/** Guards against more requests to a cold upstream than it takes from all gateways together. */
class ColdUpstreamsTest {
  private static final CallScope ANYWHERE = new CallScope(Set.of(), 0);
  private static final Duration COLD_TIME = Duration.ofSeconds(3);
  private static final long MILLI = 1_000_000;

  private static UpstreamEntry entry(long born, long sequence, @Nullable Duration coldTime) {
    return new UpstreamEntry(
        new UpstreamInstance(
            "i1", born, "s", Ipv4SocketAddress.parse("127.0.0.1:9"), "z1", 4, false),
        sequence,
        coldTime);
  }

  private static ColdUpstreams table(String gateway, double perSecond) {
    return ColdUpstreams.create(gateway, service -> new ColdStart(COLD_TIME, perSecond));
  }

  private static boolean cold(ColdUpstreams table, long born, long millis) {
    return table.check(entry(born, 1, null).instance(), ANYWHERE, millis * MILLI)
            instanceof Eligibility.PermitNeeded needed
        && needed.perSecond() <= 17;
  }

  @Test
  void onlyStartsDuringTrafficAndStatementsMakeAnUpstreamCold() {
    ColdUpstreams table = table("g1", 17);
    table.listed(entry(1, 1, null), false, 0);
    assertThat(cold(table, 1, 0)).isFalse();
    table.listed(entry(1, 2, Duration.ofMillis(500)), true, 0);
    assertThat(cold(table, 1, 499)).isTrue();
    table.listed(entry(1, 3, Duration.ZERO), true, 10 * MILLI);
    assertThat(cold(table, 1, 400)).isTrue();
    table.listed(entry(2, 1, null), true, 5000 * MILLI);
    assertThat(cold(table, 2, 7999)).isTrue();
    assertThat(cold(table, 1, 5000)).isFalse();
    table.tick(20_000 * MILLI);
    assertThat(table.active(ANYWHERE)).isFalse();
    table.listed(entry(2, 2, UpstreamEntry.UNKNOWN_COLD_TIME), true, 30_000 * MILLI);
    assertThat(cold(table, 2, 32_999)).isTrue();
  }

  @Test
  void serviceWithoutColdStartIsNeverCold() {
    ColdUpstreams table = table("g1", 0);
    table.listed(entry(1, 1, Duration.ofSeconds(9)), true, 0);

    assertThat(cold(table, 1, 0)).isFalse();
  }

  @Test
  void gatewaysReturnToFullLoadOneAfterTheOther() {
    Set<Long> endMillis = new TreeSet<>();
    for (int gateway = 0; gateway < 33; gateway++) {
      ColdUpstreams table = table("g" + gateway, 17);
      table.listed(entry(1, 1, null), true, 0);
      long millis = 3000;
      while (!table
          .check(entry(1, 1, null).instance(), ANYWHERE, millis * MILLI)
          .equals(Eligibility.ALLOWED)) {
        millis++;
      }
      endMillis.add(millis);
    }
    assertThat(endMillis).hasSizeGreaterThan(25).allMatch(end -> end >= 4000 && end <= 5001);
  }

  /**
   * Two issuers at once, and a new one in every second, as after crashes and freezes; permits reach
   * the upstream up to 100 ms late.
   */
  @ParameterizedTest
  @CsvSource({"1,17", "5,17", "20,17", "33,17", "380,17", "33,0.5", "33,3", "33,200"})
  void sumOfPermitsStaysWithinBoundInEverySecond(int gateways, double perSecond) {
    Random random = new Random(gateways);
    List<ColdUpstreams> views = new ArrayList<>();
    for (int gateway = 0; gateway < gateways; gateway++) {
      ColdUpstreams view = table("g" + gateway, perSecond);
      view.listed(entry(1, 1, null), true, random.nextInt(200) * MILLI);
      views.add(view);
    }
    PermitIssuer[] issuers = {PermitIssuer.create(), PermitIssuer.create()};
    List<Long> arrivals = new ArrayList<>();
    for (long millis = 200; millis < COLD_TIME.toMillis(); millis++) {
      if (millis % 500 == 0) {
        issuers[(int) (millis / 500 % 2)] = PermitIssuer.create();
      }
      for (int request = 0; request < 3; request++) {
        int gateway = random.nextInt(gateways);
        Eligibility verdict =
            views.get(gateway).check(entry(1, 1, null).instance(), ANYWHERE, millis * MILLI);
        assertThat(verdict).isInstanceOf(Eligibility.PermitNeeded.class);
        double rate = ((Eligibility.PermitNeeded) verdict).perSecond();
        if (issuers[random.nextInt(2)].issue("i1/1", rate, 0, millis * MILLI).granted()) {
          arrivals.add(millis + random.nextInt(100));
        }
      }
    }
    long most =
        arrivals.stream()
            .mapToLong(
                from -> arrivals.stream().filter(at -> at >= from && at < from + 1000).count())
            .max()
            .orElse(0);

    assertThat((double) most).isLessThanOrEqualTo(perSecond * 1.5 + 5);
    // An issuer of less than one permit a second that is replaced in every second grants none.
    assertThat((double) arrivals.size()).isGreaterThanOrEqualTo(perSecond < 1 ? 0 : perSecond);
  }
}
