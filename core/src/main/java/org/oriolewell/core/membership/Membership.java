package org.oriolewell.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Members of one pool and their states. The host list only proposes members; whether one is used
 * depends on this process's own connection to it. Each method that may change a state returns
 * whether {@link #candidates} changed. Times are nanoseconds of one monotonic clock. Not
 * thread-safe.
 */
public final class Membership {
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private long lastTick = Long.MIN_VALUE;

  private Membership(MembershipSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /**
   * Returns a membership without members.
   *
   * @param settings times
   * @param random source of the jitter of connection attempts
   */
  public static Membership create(MembershipSettings settings, RandomGenerator random) {
    return new Membership(settings, random);
  }

  /**
   * Takes the host list's or the settings' current members. A member that is no longer named is
   * forgotten unless it is connected, since the host list lags and may be wrong.
   */
  public boolean propose(Collection<Proposal> proposals) {
    Set<String> named = new HashSet<>();
    boolean changed = false;
    for (Proposal proposal : proposals) {
      named.add(proposal.name());
      Entry entry = entries.get(proposal.name());
      if (entry == null) {
        entries.put(proposal.name(), new Entry(proposal));
        changed = true;
      } else if (!entry.proposal.equals(proposal)) {
        entry.proposal = proposal;
        changed = true;
      }
    }
    return entries.values().removeIf(e -> !e.connected && !named.contains(e.proposal.name()))
        || changed;
  }

  /**
   * Records that a connection is open and its HELLO arrived. Another incarnation at the same
   * address starts without the drain state of the former one.
   */
  public boolean connected(String name, String incarnation, boolean draining) {
    Entry entry = entries.get(name);
    if (entry == null) {
      return false;
    }
    entry.connected = true;
    entry.incarnation = incarnation;
    entry.draining = draining;
    entry.failures = 0;
    entry.probedAt = Entry.NONE;
    return entry.become(MemberState.UP);
  }

  /** Records that a PING was sent at {@code now} to a connected member. */
  public void pingSent(String name, long now) {
    Entry entry = entries.get(name);
    if (entry != null && entry.probedAt == Entry.NONE) {
      entry.probedAt = now;
    }
  }

  /** Records that any frame arrived from a connected member, and whether it says it is draining. */
  public boolean frameReceived(String name, boolean draining) {
    Entry entry = entries.get(name);
    if (entry == null || !entry.connected) {
      return false;
    }
    entry.probedAt = Entry.NONE;
    boolean drainChanged = entry.draining != draining;
    entry.draining = draining;
    return entry.become(MemberState.UP) | drainChanged;
  }

  /** Records that the connection to a member was closed or cut. */
  public boolean disconnected(String name, long now) {
    return lost(entries.get(name), now);
  }

  /** Records that an attempt to connect to a member failed. */
  public boolean connectFailed(String name, long now) {
    return lost(entries.get(name), now);
  }

  /** Sets whether the operators' configuration says that a member is draining. */
  public boolean configuredDraining(String name, boolean draining) {
    Entry entry = entries.get(name);
    if (entry == null || entry.drainConfigured == draining) {
      return false;
    }
    entry.drainConfigured = draining;
    return true;
  }

  /**
   * Applies the passage of time. The program closes the connection of a member that became dead by
   * silence, which makes a new connection attempt possible. When the call itself comes late, since
   * this process was paused, the pause is not held against the members.
   */
  public boolean tick(long now) {
    long pause = lastTick == Long.MIN_VALUE ? 0 : now - lastTick;
    lastTick = now;
    boolean pausedHere = pause > settings.suspectAfter().toNanos();
    boolean changed = false;
    for (Entry entry : entries.values()) {
      if (entry.probedAt != Entry.NONE && pausedHere) {
        entry.probedAt += pause;
      }
      changed |= judge(entry, now);
    }
    return changed;
  }

  /**
   * Returns the members that may be used or dialed: not leaving, and not dead unless a new
   * connection attempt is due. Order is the order in which they were first proposed.
   */
  public List<Member> candidates(long now) {
    List<Member> result = new ArrayList<>();
    for (Entry entry : entries.values()) {
      MemberState state = entry.visibleState();
      if (state == MemberState.DEAD && !entry.connected && now >= entry.redialAt) {
        state = MemberState.PROPOSED;
      }
      if (state != MemberState.DEAD && state != MemberState.LEAVING) {
        result.add(entry.member(state));
      }
    }
    return result;
  }

  /** Returns all known members with their states. */
  public List<Member> members() {
    return entries.values().stream().map(e -> e.member(e.visibleState())).toList();
  }

  /** Returns whether a connection attempt to a member is due. */
  public boolean mayDial(String name, long now) {
    Entry entry = entries.get(name);
    return entry != null && !entry.connected && now >= entry.redialAt;
  }

  private boolean judge(Entry entry, long now) {
    if (entry.connected && entry.probedAt != Entry.NONE) {
      long silent = now - entry.probedAt;
      if (silent >= settings.deadAfter().toNanos()) {
        return entry.become(MemberState.DEAD);
      }
      return silent >= settings.suspectAfter().toNanos() && entry.become(MemberState.SUSPECT);
    }
    if (entry.state == MemberState.DEAD && !entry.connected && now >= entry.redialAt) {
      return entry.become(MemberState.PROPOSED);
    }
    return false;
  }

  private boolean lost(@Nullable Entry entry, long now) {
    if (entry == null) {
      return false;
    }
    entry.connected = false;
    entry.probedAt = Entry.NONE;
    long bound =
        Math.min(
            settings.redialMax().toNanos(),
            settings.redialBase().toNanos() << Math.min(entry.failures, 20));
    entry.failures++;
    // Full jitter: the processes that lost one host don't reconnect to it at the same moment.
    entry.redialAt = now + random.nextLong(bound + 1);
    return entry.become(MemberState.DEAD);
  }

  private static final class Entry {
    private static final long NONE = Long.MIN_VALUE;

    private Proposal proposal;
    private String incarnation = "";
    private MemberState state = MemberState.PROPOSED;
    private boolean connected;
    private boolean draining;
    private boolean drainConfigured;
    private int failures;
    private long probedAt = NONE;
    private long redialAt = NONE;

    private Entry(Proposal proposal) {
      this.proposal = proposal;
    }

    private boolean become(MemberState next) {
      boolean changed = state != next;
      state = next;
      return changed;
    }

    private MemberState visibleState() {
      boolean leaving = draining || drainConfigured || proposal.leaving();
      return leaving && state != MemberState.DEAD ? MemberState.LEAVING : state;
    }

    private Member member(MemberState visible) {
      return new Member(proposal.name(), incarnation, proposal.zone(), proposal.region(), visible);
    }
  }
}
