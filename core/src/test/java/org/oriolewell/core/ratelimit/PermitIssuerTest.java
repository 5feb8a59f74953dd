package org.oriolewell.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewell.core.ratelimit.PermitIssuer.Permit;

/**
 * Replays the demand of a fleet of gateways for one limited upstream. Requests for permits reach
 * the issuer late and some are lost; the issuer is replaced in the middle.
 */
class PermitIssuerTest {
  private static final String UPSTREAM = "u/1";
  private static final long WINDOW = Duration.ofSeconds(4).toNanos();
  private static final int SECONDS = 40;

  /** Largest number of requests in a window: 1.1 times what the limit allows, and one more. */
  private static final double MAX_LIMIT_USE = 1.1;

  /** Smallest used share of the limit while there is more demand. */
  private static final double MIN_LIMIT_USE = 0.9;

  @ParameterizedTest
  @CsvSource({
    "5, 0.3, 8",
    "5, 1, 8",
    "5, 2.2, 12",
    "33, 0.3, 20",
    "33, 1, 8",
    "33, 10, 80",
    "380, 1, 20",
    "380, 10, 100",
    "380, 10000, 13000"
  })
  void fleetUsesTheLimitAndStaysWithinIt(int gateways, double perSecond, double demandPerSecond) {
    SplittableRandom random = new SplittableRandom(7);
    Map<Integer, Long> blockedUntil = new HashMap<>();
    PermitIssuer issuer = PermitIssuer.create();
    List<Long> grants = new ArrayList<>();
    long now = 0;
    long replacedAt = Duration.ofSeconds(SECONDS / 2).toNanos();
    boolean replaced = false;
    while (now < Duration.ofSeconds(SECONDS).toNanos()) {
      now += (long) (-Math.log(1 - random.nextDouble()) / demandPerSecond * 1e9);
      if (!replaced && now > replacedAt) {
        issuer = PermitIssuer.create();
        replaced = true;
      }
      int gateway = random.nextInt(gateways);
      boolean lost = random.nextDouble() < 0.01;
      if (!lost && blockedUntil.getOrDefault(gateway, 0L) <= now) {
        long arrivedAt = now + Duration.ofMillis(random.nextInt(25)).toNanos();
        Permit permit = issuer.issue(UPSTREAM, perSecond, random.nextInt(3), arrivedAt);
        if (permit.granted()) {
          grants.add(arrivedAt);
        } else {
          blockedUntil.put(gateway, now + permit.retryAfter().toNanos());
        }
      }
    }

    long[] times = grants.stream().mapToLong(Long::longValue).sorted().toArray();
    double allowed = perSecond * WINDOW / 1e9;
    assertThat((double) maxInWindow(times)).isLessThanOrEqualTo(MAX_LIMIT_USE * allowed + 1);
    double usable = perSecond * SECONDS;
    assertThat((double) times.length)
        .isGreaterThanOrEqualTo(Math.floor(MIN_LIMIT_USE * usable) - 2);
  }

  private static int maxInWindow(long[] times) {
    int max = 0;
    for (int i = 0; i < times.length; i++) {
      int end = Arrays.binarySearch(times, times[i] + WINDOW);
      max = Math.max(max, (end < 0 ? -end - 1 : end + 1) - i);
    }
    return max;
  }

  @Test
  void issuerThatStartsGrantsNothingAtOnce() {
    assertThat(PermitIssuer.create().issue(UPSTREAM, 1, 0, 0).granted()).isFalse();
  }

  @Test
  void urgentRequestsGoFirst() {
    PermitIssuer issuer = PermitIssuer.create();
    int urgentGrants = 0;
    int otherGrants = 0;
    for (int i = 0; i < 1000; i++) {
      long now = Duration.ofMillis(i * 20L).toNanos();
      otherGrants += issuer.issue(UPSTREAM, 2, 5, now).granted() ? 1 : 0;
      urgentGrants += issuer.issue(UPSTREAM, 2, 0, now).granted() ? 1 : 0;
    }
    assertThat(urgentGrants).isGreaterThan(30);
    assertThat(otherGrants).isLessThan(5);
  }

  /** Guards against a limit of 0 that never ends, since no answer can say so. */
  @Test
  void limitOfZeroLeavesRareRequestsThatLearnItsEnd() {
    PermitIssuer issuer = PermitIssuer.create();
    long grants = 0;
    for (int second = 0; second < 60; second++) {
      long now = Duration.ofSeconds(second).toNanos();
      grants += issuer.issue(UPSTREAM, 0, 0, now).granted() ? 1 : 0;
    }
    assertThat(grants).isBetween(5L, 12L);
  }
}
