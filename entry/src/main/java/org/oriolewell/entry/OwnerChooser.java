package org.oriolewell.entry;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the agent that gets a non-idempotent call: the owner of the key's shard as far as it is
 * known, or else the first usable agent in the shard's rendezvous order, which is the same in all
 * entries.
 */
final class OwnerChooser {
  private final AgentDirectory directory;

  /** A chosen agent and the reason. */
  record Owner(AgentLink link, String reason) {}

  OwnerChooser(AgentDirectory directory) {
    this.directory = directory;
  }

  /**
   * Chooses an agent.
   *
   * @param hint text in which another agent named the owner; null if none did
   * @param avoid names of the agents that refused or lost this call
   */
  Optional<Owner> choose(String pool, String shard, @Nullable String hint, Set<String> avoid) {
    Optional<AgentLink> named = directory.named(hint).filter(AgentLink::usable);
    if (named.isPresent()) {
      return named.map(link -> new Owner(link, "named as the owner"));
    }
    Optional<AgentLink> owner =
        directory.owner(pool, shard).filter(link -> link.usable() && !avoid.contains(link.name()));
    if (owner.isPresent()) {
      return owner.map(link -> new Owner(link, "owns the shard"));
    }
    AgentLink first = first(pool, shard, avoid);
    if (first == null) {
      first = first(pool, shard, Set.of());
    }
    return Optional.ofNullable(first).map(link -> new Owner(link, "first in rendezvous order"));
  }

  private @Nullable AgentLink first(String pool, String shard, Set<String> avoid) {
    AgentLink first = null;
    long highest = Long.MIN_VALUE;
    for (AgentLink link : directory.members(pool)) {
      long rank = rank(shard, link.name());
      if (link.usable() && !avoid.contains(link.name()) && (first == null || rank > highest)) {
        first = link;
        highest = rank;
      }
    }
    return first;
  }

  private static long rank(String shard, String name) {
    return Hashing.farmHashFingerprint64()
        .hashString(shard + ' ' + name, StandardCharsets.UTF_8)
        .asLong();
  }
}
