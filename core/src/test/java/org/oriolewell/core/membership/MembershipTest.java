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
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Membership membership =
      Membership.create(MembershipSettings.defaults(), new SplittableRandom(1));

  private static Proposal host(int number, boolean leaving) {
    return new Proposal("host-" + number, "zone", "region", leaving);
  }

  private void connectOneHost() {
    membership.propose(List.of(host(1, false)));
    membership.connected("host-1", "a", false);
  }

  private MemberState state() {
    return membership.members().get(0).state();
  }

  /**
   * Guards against calls to a host that doesn't answer: with heartbeats every 250 ms it must be
   * dead within 750 ms.
   */
  @Test
  void unansweringHostIsDeadWithin750MillisOfItsLastAnswer() {
    connectOneHost();
    membership.frameReceived("host-1", false);
    for (long now = 0; now <= 750 * NANOS_PER_MILLI; now += 50 * NANOS_PER_MILLI) {
      if (now % (250 * NANOS_PER_MILLI) == 0 && now > 0) {
        membership.pingSent("host-1", now);
      }
      membership.tick(now);
    }
    assertThat(state()).isEqualTo(MemberState.DEAD);
    assertThat(membership.candidates(750 * NANOS_PER_MILLI)).isEmpty();
  }

  /** Guards against declaring every host dead because this process itself was paused. */
  @Test
  void pauseOfThisProcessMakesNoHostDead() {
    connectOneHost();
    membership.tick(0);
    membership.pingSent("host-1", 0);
    membership.tick(5_000 * NANOS_PER_MILLI);
    assertThat(state()).isEqualTo(MemberState.UP);
    for (long now = 5_050 * NANOS_PER_MILLI;
        now <= 5_600 * NANOS_PER_MILLI;
        now += 50 * NANOS_PER_MILLI) {
      membership.tick(now);
    }
    assertThat(state()).isEqualTo(MemberState.DEAD);
  }

  /** Guards against removing a connected host that the host list doesn't name. */
  @Test
  void hostMissingFromTheListStaysWhileConnected() {
    connectOneHost();
    membership.propose(List.of());
    assertThat(membership.candidates(0)).hasSize(1);
    membership.disconnected("host-1", 0);
    membership.propose(List.of());
    assertThat(membership.members()).isEmpty();
  }

  /**
   * Guards against new calls to a leaving host, whether the host, the configuration or the host
   * list says that it leaves.
   */
  @Test
  void leavingHostIsNoCandidate() {
    connectOneHost();
    assertThat(membership.frameReceived("host-1", true)).isTrue();
    assertThat(membership.candidates(0)).isEmpty();
    membership.frameReceived("host-1", false);
    membership.configuredDraining("host-1", true);
    assertThat(membership.candidates(0)).isEmpty();
    membership.configuredDraining("host-1", false);
    membership.propose(List.of(host(1, true)));
    assertThat(membership.candidates(0)).isEmpty();
  }

  /**
   * Guards against a drain state that is kept after a restart: another incarnation starts without
   * it.
   */
  @Test
  void anotherIncarnationIsNotDraining() {
    connectOneHost();
    membership.frameReceived("host-1", true);
    membership.disconnected("host-1", 0);
    membership.connected("host-1", "b", false);
    assertThat(membership.candidates(0))
        .containsExactly(new Member("host-1", "b", "zone", "region", MemberState.UP));
  }

  /**
   * Guards against losing too many candidates: when 10 of 100 hosts restart at once, 90 must stay
   * usable, and the 10 are not all connected to at the same moment.
   */
  @Test
  void tenOfHundredRestartingLeaveNinetyAndReconnectSpread() {
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
    long upCount =
        membership.candidates(0).stream().filter(m -> m.state() == MemberState.UP).count();
    assertThat(upCount).isEqualTo(90);
    long dueAfter400Millis =
        hosts.stream()
            .limit(10)
            .filter(h -> membership.mayDial(h.name(), 400 * NANOS_PER_MILLI))
            .count();
    assertThat(dueAfter400Millis).isBetween(1L, 9L);
    assertThat(
            hosts.stream()
                .limit(10)
                .allMatch(h -> membership.mayDial(h.name(), 800 * NANOS_PER_MILLI)))
        .isTrue();
  }

  /**
   * Guards against candidates that are dead or leaving, or up without a connection, after any order
   * of events.
   */
  @Property(tries = 300, seed = "7")
  void candidatesAreNeverLeavingAndUpOnlyWhileConnected(
      @ForAll @Size(max = 60) List<@IntRange(max = 7) Integer> events) {
    Membership testedMembership =
        Membership.create(MembershipSettings.defaults(), new SplittableRandom(3));
    testedMembership.propose(List.of(host(1, false)));
    boolean connected = false;
    boolean draining = false;
    long now = 0;
    for (int event : events) {
      now += 100 * NANOS_PER_MILLI;
      switch (event) {
        case 0 -> testedMembership.connected("host-1", "i" + now, false);
        case 1 -> testedMembership.disconnected("host-1", now);
        case 2 -> testedMembership.connectFailed("host-1", now);
        case 3 -> testedMembership.frameReceived("host-1", true);
        case 4 -> testedMembership.frameReceived("host-1", false);
        case 5 -> testedMembership.pingSent("host-1", now);
        default -> testedMembership.tick(now);
      }
      if (event == 0 || event == 4 || event == 3) {
        draining = event == 3 && connected || event == 4 && !connected && draining;
      }
      connected = event == 0 || connected && event != 1 && event != 2;
      for (Member member : testedMembership.candidates(now)) {
        assertThat(member.state()).isNotIn(MemberState.LEAVING, MemberState.DEAD);
        assertThat(member.state() != MemberState.UP || connected && !draining).isTrue();
      }
    }
  }
}
