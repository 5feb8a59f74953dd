package org.oriolewell.entry;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the agent that a non-idempotent call is sent to: the known owner of the shard of its
 * idempotency key, or else the first usable agent by rendezvous hashing of the shard, which gives
 * the same agent in all entries.
 */
final class OwnerChooser {
  private final AgentDirectory directory;

  /** The agent chosen for a call, and the reason as it is logged. */
  record ChosenAgent(AgentLink link, String reason) {}

  OwnerChooser(AgentDirectory directory) {
    this.directory = directory;
  }

  /**
   * Chooses the agent of a call, or returns empty if no agent of the pool is usable.
   *
   * @param ownerHint detail of a refusal in which another agent named the shard's owner; null if
   *     there is none
   * @param avoid names of the agents at which an attempt of this call failed; chosen only if there
   *     is no other
   */
  Optional<ChosenAgent> choose(
      String pool, String shard, @Nullable String ownerHint, Set<String> avoid) {
    Optional<AgentLink> namedOwner = directory.findNamedIn(ownerHint).filter(AgentLink::usable);
    if (namedOwner.isPresent()) {
      return namedOwner.map(link -> new ChosenAgent(link, "named as the owner"));
    }
    Optional<AgentLink> knownOwner =
        directory.owner(pool, shard).filter(link -> link.usable() && !avoid.contains(link.name()));
    if (knownOwner.isPresent()) {
      return knownOwner.map(link -> new ChosenAgent(link, "owns the shard"));
    }
    AgentLink highestRanked = highestRanked(pool, shard, avoid);
    if (highestRanked == null) {
      highestRanked = highestRanked(pool, shard, Set.of());
    }
    return Optional.ofNullable(highestRanked)
        .map(link -> new ChosenAgent(link, "first in rendezvous order"));
  }

  private @Nullable AgentLink highestRanked(String pool, String shard, Set<String> avoid) {
    AgentLink highestRanked = null;
    long highestRank = Long.MIN_VALUE;
    for (AgentLink link : directory.members(pool)) {
      long rendezvousRank = rendezvousRank(shard, link.name());
      if (link.usable()
          && !avoid.contains(link.name())
          && (highestRanked == null || rendezvousRank > highestRank)) {
        highestRanked = link;
        highestRank = rendezvousRank;
      }
    }
    return highestRanked;
  }

  private static long rendezvousRank(String shard, String agentName) {
    return Hashing.farmHashFingerprint64()
        .hashString(shard + ' ' + agentName, StandardCharsets.UTF_8)
        .asLong();
  }
}
