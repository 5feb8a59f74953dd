package org.oriolewell.core.roster;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against work for upstreams that leave, and against keys that were taken away. */
class RosterTest {
  private static final long SECOND = 1_000_000_000;

  private final UpstreamRoster roster = UpstreamRoster.create(Duration.ofSeconds(2));

  private static UpstreamInstance instance(String id, long started, boolean draining) {
    return new UpstreamInstance(id, started, "engine", "10.0.0.1:80", "z", 8, draining);
  }

  @Test
  void drainingUpstreamTakesNoWork() {
    roster.announced(instance("a", 1, false));
    assertThat(roster.usable("engine")).hasSize(1);
    roster.announced(instance("a", 1, true));

    assertThat(roster.usable("engine")).isEmpty();
    assertThat(roster.mayReceive(instance("a", 1, false))).isFalse();
  }

  @Test
  void entryRemovedWhileStoreIsWellIsGoneAtOnce() {
    roster.announced(instance("a", 1, false));
    roster.removed("a", 5 * SECOND);

    assertThat(roster.usable("engine")).isEmpty();
  }

  @Test
  void entryThatLapsedWhileStoreWasAwayStaysUntilGraceEnds() {
    roster.announced(instance("a", 1, false));
    roster.storeLost();
    roster.storeRegained(10 * SECOND);
    roster.replaceAll(List.of(), 10 * SECOND);

    assertThat(roster.usable("engine")).hasSize(1);
    assertThat(roster.expireLapsed(11 * SECOND)).isEmpty();
    assertThat(roster.expireLapsed(12 * SECOND)).hasSize(1);
    assertThat(roster.usable("engine")).isEmpty();
  }

  @Test
  void drainingEntryDoesNotComeBackByLapsing() {
    roster.announced(instance("a", 1, true));
    roster.storeLost();
    roster.storeRegained(10 * SECOND);
    roster.replaceAll(List.of(), 10 * SECOND);

    assertThat(roster.usable("engine")).isEmpty();
  }

  @Test
  void newStartUnderOldIdIsAnotherUpstream() {
    roster.announced(instance("a", 1, false));
    roster.announced(instance("a", 2, false));

    assertThat(roster.mayReceive(instance("a", 1, false))).isFalse();
    assertThat(roster.mayReceive(instance("a", 2, false))).isTrue();
  }

  @Test
  void copyIsStaleAfterItsAge() {
    ViewFreshness freshness = ViewFreshness.create(Duration.ofSeconds(4));
    assertThat(freshness.fresh(0)).isFalse();
    freshness.confirm(SECOND, SECOND);

    assertThat(freshness.fresh(4 * SECOND)).isTrue();
    assertThat(freshness.fresh(5 * SECOND)).isFalse();
  }

  @Test
  void suspensionMakesCopyStaleThoughMonotonicClockStoodStill() {
    ViewFreshness freshness = ViewFreshness.create(Duration.ofSeconds(4));
    freshness.observeClocks(SECOND, 1_000_000);
    freshness.confirm(SECOND, SECOND);

    assertThat(freshness.observeClocks(SECOND + 1000, 1_030_000)).isTrue();
    assertThat(freshness.fresh(SECOND + 1000)).isFalse();
  }

  @Test
  void callSentBeforeSuspensionConfirmsNothing() {
    ViewFreshness freshness = ViewFreshness.create(Duration.ofSeconds(4));
    freshness.observeClocks(SECOND, 1_000_000);
    freshness.observeClocks(2 * SECOND, 1_031_000);
    freshness.confirm(SECOND, 2 * SECOND);
    assertThat(freshness.fresh(2 * SECOND)).isFalse();

    freshness.confirm(3 * SECOND, 3 * SECOND);
    assertThat(freshness.fresh(3 * SECOND)).isTrue();
  }

  @Test
  void clockThatStepsBackIsTakenForSuspension() {
    ViewFreshness freshness = ViewFreshness.create(Duration.ofSeconds(4));
    freshness.observeClocks(SECOND, 1_000_000);
    freshness.confirm(SECOND, SECOND);

    assertThat(freshness.observeClocks(2 * SECOND, 998_000)).isTrue();
    assertThat(freshness.fresh(2 * SECOND)).isFalse();
  }
}
