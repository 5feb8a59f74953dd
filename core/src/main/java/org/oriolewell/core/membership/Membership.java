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
 * Members of one pool and their states. The host list only proposes members; whether a member is
 * used depends on this process's own connection to it. Each method that may change a state returns
 * whether the result of {@link #candidates} changed. Times are nanoseconds of one monotonic clock.
 * Not thread-safe.
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
   * @param settings time limits of heartbeats and delays of connection attempts
   * @param random source of the random delay of connection attempts
   */
  public static Membership create(MembershipSettings settings, RandomGenerator random) {
    return new Membership(settings, random);
  }

  /**
   * Replaces the members named by the host list or the settings. A member that is no longer named
   * is removed unless it is connected, since the host list lags and may be wrong.
   */
  public boolean propose(Collection<Proposal> proposals) {
    Set<String> proposedNames = new HashSet<>();
    boolean changed = false;
    for (Proposal proposal : proposals) {
      proposedNames.add(proposal.name());
      Entry entry = entries.get(proposal.name());
      if (entry == null) {
        entries.put(proposal.name(), new Entry(proposal));
        changed = true;
      } else if (!entry.proposal.equals(proposal)) {
        entry.proposal = proposal;
        changed = true;
      }
    }
    return entries
            .values()
            .removeIf(known -> !known.connected && !proposedNames.contains(known.proposal.name()))
        || changed;
  }

  /**
   * Records that a connection is open and its HELLO arrived. Another incarnation at the same
   * address starts without the drain state of the previous one.
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
    entry.unansweredSince = Entry.UNSET;
    return entry.changeState(MemberState.UP);
  }

  /** Records that a heartbeat (PING) was sent at {@code now} to a connected member. */
  public void pingSent(String name, long now) {
    Entry entry = entries.get(name);
    if (entry != null && entry.unansweredSince == Entry.UNSET) {
      entry.unansweredSince = now;
    }
  }

  /**
   * Records that a frame of any type arrived from a connected member, and whether the member says
   * that it is draining.
   */
  public boolean frameReceived(String name, boolean draining) {
    Entry entry = entries.get(name);
    if (entry == null || !entry.connected) {
      return false;
    }
    entry.unansweredSince = Entry.UNSET;
    boolean drainChanged = entry.draining != draining;
    entry.draining = draining;
    return entry.changeState(MemberState.UP) | drainChanged;
  }

  /** Records that the connection to a member was closed or broke. */
  public boolean disconnected(String name, long now) {
    return recordLoss(entries.get(name), now);
  }

  /** Records that an attempt to connect to a member failed. */
  public boolean connectFailed(String name, long now) {
    return recordLoss(entries.get(name), now);
  }

  /** Sets whether the configuration marks a member as draining. */
  public boolean configuredDraining(String name, boolean draining) {
    Entry entry = entries.get(name);
    if (entry == null || entry.drainConfigured == draining) {
      return false;
    }
    entry.drainConfigured = draining;
    return true;
  }

  /**
   * Updates the states of members whose heartbeats stay unanswered or whose next connection attempt
   * is due. The caller closes the connection of a member that became dead for lack of answers,
   * which makes a new connection attempt possible. If this method is called late because this
   * process was paused, the pause does not count as time without an answer.
   */
  public boolean tick(long now) {
    long sinceLastTick = lastTick == Long.MIN_VALUE ? 0 : now - lastTick;
    lastTick = now;
    boolean wasPaused = sinceLastTick > settings.suspectAfter().toNanos();
    boolean anyChanged = false;
    for (Entry entry : entries.values()) {
      if (entry.unansweredSince != Entry.UNSET && wasPaused) {
        entry.unansweredSince += sinceLastTick;
      }
      anyChanged |= updateState(entry, now);
    }
    return anyChanged;
  }

  /**
   * Returns the members that may be used or connected to: those that are not leaving, and not dead
   * unless a new connection attempt is due. They are in the order in which they were first
   * proposed.
   */
  public List<Member> candidates(long now) {
    List<Member> result = new ArrayList<>();
    for (Entry entry : entries.values()) {
      MemberState state = entry.visibleState();
      if (state == MemberState.DEAD && !entry.connected && now >= entry.nextDialAt) {
        state = MemberState.PROPOSED;
      }
      if (state != MemberState.DEAD && state != MemberState.LEAVING) {
        result.add(entry.member(state));
      }
    }
    return result;
  }

  /** Returns all members, also those that are not used, with their states. */
  public List<Member> members() {
    return entries.values().stream().map(entry -> entry.member(entry.visibleState())).toList();
  }

  /** Returns whether an attempt to connect to a member is due. */
  public boolean mayDial(String name, long now) {
    Entry entry = entries.get(name);
    return entry != null && !entry.connected && now >= entry.nextDialAt;
  }

  private boolean updateState(Entry entry, long now) {
    if (entry.connected && entry.unansweredSince != Entry.UNSET) {
      long unansweredNanos = now - entry.unansweredSince;
      if (unansweredNanos >= settings.deadAfter().toNanos()) {
        return entry.changeState(MemberState.DEAD);
      }
      return unansweredNanos >= settings.suspectAfter().toNanos()
          && entry.changeState(MemberState.SUSPECT);
    }
    if (entry.state == MemberState.DEAD && !entry.connected && now >= entry.nextDialAt) {
      return entry.changeState(MemberState.PROPOSED);
    }
    return false;
  }

  /** Records the loss of a connection or a failed attempt, and plans the next attempt. */
  private boolean recordLoss(@Nullable Entry entry, long now) {
    if (entry == null) {
      return false;
    }
    entry.connected = false;
    entry.unansweredSince = Entry.UNSET;
    long maxDelayNanos =
        Math.min(
            settings.redialMaxDelay().toNanos(),
            settings.redialBaseDelay().toNanos() << Math.min(entry.failures, 20));
    entry.failures++;
    // Full jitter: processes that lost the same host don't all reconnect to it at the same
    // moment.
    entry.nextDialAt = now + random.nextLong(maxDelayNanos + 1);
    return entry.changeState(MemberState.DEAD);
  }

  /** A member with the state of the connection to it. */
  private static final class Entry {
    /** Value of a time that is not set. */
    private static final long UNSET = Long.MIN_VALUE;

    private Proposal proposal;
    private String incarnation = "";
    private MemberState state = MemberState.PROPOSED;
    private boolean connected;
    private boolean draining;
    private boolean drainConfigured;

    /** Lost connections and failed attempts since the last open connection. */
    private int failures;

    /** Monotonic time of the oldest heartbeat without an answer. */
    private long unansweredSince = UNSET;

    private long nextDialAt = UNSET;

    private Entry(Proposal proposal) {
      this.proposal = proposal;
    }

    private boolean changeState(MemberState newState) {
      boolean changed = state != newState;
      state = newState;
      return changed;
    }

    /** Returns the state with draining and leaving taken into account. */
    private MemberState visibleState() {
      boolean leaving = draining || drainConfigured || proposal.leaving();
      return leaving && state != MemberState.DEAD ? MemberState.LEAVING : state;
    }

    private Member member(MemberState reportedState) {
      return new Member(
          proposal.name(), incarnation, proposal.zone(), proposal.region(), reportedState);
    }
  }
}
