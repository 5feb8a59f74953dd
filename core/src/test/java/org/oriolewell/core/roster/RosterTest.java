package org.oriolewell.core.roster;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that draining or removed upstreams get no work and that revoked keys aren't accepted. */
class RosterTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final UpstreamRoster roster = UpstreamRoster.create(Duration.ofSeconds(2));

  private static UpstreamEntry entry(String id, long startedMillis, boolean draining) {
    return entry(id, startedMillis, draining, 1);
  }

  private static UpstreamEntry entry(
      String id, long startedMillis, boolean draining, long sequence) {
    return new UpstreamEntry(
        new UpstreamInstance(
            id, startedMillis, "engine", Ipv4SocketAddress.parse("10.0.0.1:80"), "z", 8, draining),
        sequence);
  }

  @Test
  void drainingUpstreamTakesNoWork() {
    roster.entryWritten(entry("a", 1, false), 0);
    assertThat(roster.usable("engine")).hasSize(1);
    roster.entryWritten(entry("a", 1, true), 0);

    assertThat(roster.usable("engine")).isEmpty();
  }

  @Test
  void entryRemovedWhileStoreIsAvailableIsRemovedAtOnce() {
    roster.entryWritten(entry("a", 1, false), 0);
    roster.entryRemoved("a", 5 * NANOS_PER_SECOND);

    assertThat(roster.usable("engine")).isEmpty();
  }

  @Test
  void entryMissingAfterOutageStaysUsableUntilGraceEnds() {
    roster.entryWritten(entry("a", 1, false), 0);
    roster.storeLost();
    roster.storeRegained(10 * NANOS_PER_SECOND);
    roster.replaceAll(List.of(), 10 * NANOS_PER_SECOND);

    assertThat(roster.usable("engine")).hasSize(1);
    assertThat(roster.expireLapsed(11 * NANOS_PER_SECOND)).isEmpty();
    assertThat(roster.expireLapsed(12 * NANOS_PER_SECOND)).hasSize(1);
    assertThat(roster.usable("engine")).isEmpty();
  }

  @Test
  void drainingEntryMissingAfterOutageIsRemovedAtOnce() {
    roster.entryWritten(entry("a", 1, true), 0);
    roster.storeLost();
    roster.storeRegained(10 * NANOS_PER_SECOND);
    roster.replaceAll(List.of(), 10 * NANOS_PER_SECOND);

    assertThat(roster.usable("engine")).isEmpty();
  }

  @Test
  void restartedUpstreamReplacesItsOldInstance() {
    roster.entryWritten(entry("a", 1, false), 0);
    roster.entryWritten(entry("a", 2, false), 0);

    assertThat(roster.usable("engine")).containsExactly(entry("a", 2, false).instance());
  }

  @Test
  void copyIsStaleAfterMaxAge() {
    ViewFreshness freshness = ViewFreshness.create(Duration.ofSeconds(4));
    assertThat(freshness.fresh(0)).isFalse();
    freshness.confirm(NANOS_PER_SECOND, NANOS_PER_SECOND);

    assertThat(freshness.fresh(4 * NANOS_PER_SECOND)).isTrue();
    assertThat(freshness.fresh(5 * NANOS_PER_SECOND)).isFalse();
  }

  @Test
  void suspensionMakesCopyStaleAlthoughMonotonicClockStopped() {
    ViewFreshness freshness = ViewFreshness.create(Duration.ofSeconds(4));
    freshness.observeClocks(NANOS_PER_SECOND, 1_000_000);
    freshness.confirm(NANOS_PER_SECOND, NANOS_PER_SECOND);

    assertThat(freshness.observeClocks(NANOS_PER_SECOND + 1000, 1_030_000)).isTrue();
    assertThat(freshness.fresh(NANOS_PER_SECOND + 1000)).isFalse();
  }

  @Test
  void callSentBeforeSuspensionConfirmsNothing() {
    ViewFreshness freshness = ViewFreshness.create(Duration.ofSeconds(4));
    freshness.observeClocks(NANOS_PER_SECOND, 1_000_000);
    freshness.observeClocks(2 * NANOS_PER_SECOND, 1_031_000);
    freshness.confirm(NANOS_PER_SECOND, 2 * NANOS_PER_SECOND);
    assertThat(freshness.fresh(2 * NANOS_PER_SECOND)).isFalse();

    freshness.confirm(3 * NANOS_PER_SECOND, 3 * NANOS_PER_SECOND);
    assertThat(freshness.fresh(3 * NANOS_PER_SECOND)).isTrue();
  }

  @Test
  void wallClockStepBackCountsAsSuspension() {
    ViewFreshness freshness = ViewFreshness.create(Duration.ofSeconds(4));
    freshness.observeClocks(NANOS_PER_SECOND, 1_000_000);
    freshness.confirm(NANOS_PER_SECOND, NANOS_PER_SECOND);

    assertThat(freshness.observeClocks(2 * NANOS_PER_SECOND, 998_000)).isTrue();
    assertThat(freshness.fresh(2 * NANOS_PER_SECOND)).isFalse();
  }
}
