package org.oriolewell.core.roster;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.roster.StoreHistory.Change;

/** Guards against upstreams and confirmations that a store restored from a copy brings back. */
class RestoredRosterTest {
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private final UpstreamRoster roster = UpstreamRoster.create(Duration.ofSeconds(2));
  private final StoreHistory history = StoreHistory.create(Duration.ofSeconds(2));

  private static UpstreamEntry entry(long startedMillis, boolean draining, long sequence) {
    return new UpstreamEntry(
        new UpstreamInstance(
            "a", startedMillis, "engine", Ipv4SocketAddress.parse("10.0.0.1:80"), "z", 8, draining),
        sequence);
  }

  private boolean usable() {
    return !roster.usable("engine").isEmpty();
  }

  private void restoreWith(UpstreamEntry... entries) {
    roster.storeRestored(10 * SECOND);
    roster.replaceAll(List.of(entries), 10 * SECOND);
  }

  @Test
  void upstreamThatDrainedStaysUnused() {
    roster.entryWritten(entry(1, false, 1), 0);
    roster.entryWritten(entry(1, true, 2), 0);
    restoreWith(entry(1, false, 1));

    assertThat(usable()).isFalse();
  }

  @Test
  void upstreamThatWasRemovedStaysUnusedUntilItWritesAgain() {
    roster.entryWritten(entry(1, false, 3), 0);
    roster.entryRemoved("a", SECOND);
    restoreWith(entry(1, false, 3));
    assertThat(usable()).isFalse();
    roster.entryWritten(entry(1, false, 4), 11 * SECOND);

    assertThat(usable()).isTrue();
  }

  @Test
  void upstreamThatRestartedIsUsed() {
    roster.entryWritten(entry(1, true, 2), 0);
    restoreWith(entry(2, false, 1));

    assertThat(usable()).isTrue();
  }

  @Test
  void upstreamThatIsListedAgainInTheSameHistoryIsUsed() {
    roster.entryWritten(entry(1, false, 1), 0);
    roster.entryRemoved("a", SECOND);
    roster.entryWritten(entry(1, false, 1), 2 * SECOND);

    assertThat(usable()).isTrue();
  }

  @Test
  void upstreamMissingInTheCopyStaysUsableUntilItHadTimeToWriteAgain() {
    roster.entryWritten(entry(1, false, 1), 0);
    restoreWith();
    assertThat(usable()).isTrue();
    roster.expireLapsed(12 * SECOND);

    assertThat(usable()).isFalse();
  }

  @Test
  void laterEraIsRestorationAndFormerEraIsOutdated() {
    assertThat(history.observe(4, 0)).isEqualTo(Change.NONE);
    assertThat(history.observe(5, SECOND)).isEqualTo(Change.RESTORED);
    assertThat(history.observe(4, SECOND)).isEqualTo(Change.OUTDATED);
    assertThat(history.observe(5, SECOND)).isEqualTo(Change.NONE);
    assertThat(history.observe(7, SECOND)).isEqualTo(Change.RESTORED);
  }

  @Test
  void historyIsSettledAfterItsTimeOrByMarkOfTheSameEra() {
    assertThat(history.isSettled(0)).isTrue();
    history.observe(4, 0);
    assertThat(history.isSettled(SECOND)).isFalse();
    assertThat(history.isSettled(2 * SECOND)).isTrue();
    history.observe(5, 10 * SECOND);
    history.confirm(4);
    assertThat(history.isSettled(11 * SECOND)).isFalse();
    history.confirm(5);

    assertThat(history.isSettled(11 * SECOND)).isTrue();
  }
}
