package org.oriolewell.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class MembershipTest {
  private static final long MS = 1_000_000L;

  private final Membership membership =
      Membership.create(MembershipSettings.defaults(), new SplittableRandom(1));

  private static Proposal host(int number, boolean leaving) {
    return new Proposal("host-" + number, "zone", "region", leaving);
  }

  private void oneUp() {
    membership.propose(List.of(host(1, false)));
    membership.connected("host-1", "a", false);
  }

  private MemberState state() {
    return membership.members().get(0).state();
  }

  /** Guards against calls to a silent host: with heartbeats each 250 ms it must go in 750 ms. */
  @Test
  void silentHostDiesWithin750MillisOfItsLastAnswer() {
    oneUp();
    membership.frameReceived("host-1", false);
    for (long now = 0; now <= 750 * MS; now += 50 * MS) {
      if (now % (250 * MS) == 0 && now > 0) {
        membership.pingSent("host-1", now);
      }
      membership.tick(now);
    }
    assertThat(state()).isEqualTo(MemberState.DEAD);
    assertThat(membership.candidates(750 * MS)).isEmpty();
  }

  /** Guards against declaring every host dead because this process itself was paused. */
  @Test
  void pauseOfThisProcessKillsNoHost() {
    oneUp();
    membership.tick(0);
    membership.pingSent("host-1", 0);
    membership.tick(5_000 * MS);
    assertThat(state()).isEqualTo(MemberState.UP);
    for (long now = 5_050 * MS; now <= 5_600 * MS; now += 50 * MS) {
      membership.tick(now);
    }
    assertThat(state()).isEqualTo(MemberState.DEAD);
  }

  /** Guards against trusting the host list over a live connection. */
  @Test
  void hostMissingFromTheListStaysWhileConnected() {
    oneUp();
    membership.propose(List.of());
    assertThat(membership.candidates(0)).hasSize(1);
    membership.disconnected("host-1", 0);
    membership.propose(List.of());
    assertThat(membership.members()).isEmpty();
  }

  /** Guards against new work for a leaving host, whoever says that it leaves. */
  @Test
  void leavingHostIsNoCandidate() {
    oneUp();
    assertThat(membership.frameReceived("host-1", true)).isTrue();
    assertThat(membership.candidates(0)).isEmpty();
    membership.frameReceived("host-1", false);
    membership.configuredDraining("host-1", true);
    assertThat(membership.candidates(0)).isEmpty();
    membership.configuredDraining("host-1", false);
    membership.propose(List.of(host(1, true)));
    assertThat(membership.candidates(0)).isEmpty();
  }

  /** Guards against a drain that outlives its process: another incarnation starts without it. */
  @Test
  void anotherIncarnationIsNotDraining() {
    oneUp();
    membership.frameReceived("host-1", true);
    membership.disconnected("host-1", 0);
    membership.connected("host-1", "b", false);
    assertThat(membership.candidates(0))
        .containsExactly(new Member("host-1", "b", "zone", "region", MemberState.UP));
  }

  /** Guards against an emptied candidate set: 10 of 100 restart at once, 90 must stay usable. */
  @Test
  void tenOfHundredRestartingLeaveNinetyAndReturnSpread() {
    List<Proposal> hosts = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      hosts.add(host(i, false));
    }
    membership.propose(hosts);
    for (int i = 0; i < 100; i++) {
      membership.connected("host-" + i, "a", false);
    }
    for (int i = 0; i < 10; i++) {
      membership.disconnected("host-" + i, 0);
      membership.connectFailed("host-" + i, 0);
      membership.connectFailed("host-" + i, 0);
    }
    long up = membership.candidates(0).stream().filter(m -> m.state() == MemberState.UP).count();
    assertThat(up).isEqualTo(90);
    long dueEarly =
        hosts.stream().limit(10).filter(h -> membership.mayDial(h.name(), 400 * MS)).count();
    assertThat(dueEarly).isBetween(1L, 9L);
    assertThat(hosts.stream().limit(10).allMatch(h -> membership.mayDial(h.name(), 800 * MS)))
        .isTrue();
  }

  /** Guards against a dead or leaving host among the usable ones after any order of events. */
  @Property(tries = 300, seed = "7")
  void candidatesAreNeverLeavingAndUpOnlyWhileConnected(
      @ForAll @Size(max = 60) List<@IntRange(max = 7) Integer> events) {
    Membership tested = Membership.create(MembershipSettings.defaults(), new SplittableRandom(3));
    tested.propose(List.of(host(1, false)));
    boolean connected = false;
    boolean draining = false;
    long now = 0;
    for (int event : events) {
      now += 100 * MS;
      switch (event) {
        case 0 -> tested.connected("host-1", "i" + now, false);
        case 1 -> tested.disconnected("host-1", now);
        case 2 -> tested.connectFailed("host-1", now);
        case 3 -> tested.frameReceived("host-1", true);
        case 4 -> tested.frameReceived("host-1", false);
        case 5 -> tested.pingSent("host-1", now);
        default -> tested.tick(now);
      }
      if (event == 0 || event == 4 || event == 3) {
        draining = event == 3 && connected || event == 4 && !connected && draining;
      }
      connected = event == 0 || connected && event != 1 && event != 2;
      for (Member member : tested.candidates(now)) {
        assertThat(member.state()).isNotIn(MemberState.LEAVING, MemberState.DEAD);
        assertThat(member.state() != MemberState.UP || connected && !draining).isTrue();
      }
    }
  }
}
