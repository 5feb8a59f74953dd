package org.oriolewell.entry;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
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

  OwnerChooser(AgentDirectory directory) {
    this.directory = directory;
  }

  /**
   * Chooses an agent.
   *
   * @param hint text in which another agent named the owner; null if none did
   * @param avoid process names that refused or lost this call
   */
  Optional<Chooser.Choice> choose(
      PoolMembers members, String shard, @Nullable String hint, Set<String> avoid) {
    Optional<AgentLink> named = directory.named(hint).filter(AgentLink::usable);
    if (named.isPresent()) {
      return named.map(link -> new Chooser.Choice(link, shard, "named as the owner"));
    }
    Optional<AgentLink> owner =
        directory.owner(shard).filter(link -> link.usable() && !avoid.contains(link.processName()));
    if (owner.isPresent()) {
      return owner.map(link -> new Chooser.Choice(link, shard, "owns the shard"));
    }
    AgentLink first = first(members, shard, avoid);
    if (first == null) {
      first = first(members, shard, Set.of());
    }
    return Optional.ofNullable(first)
        .map(link -> new Chooser.Choice(link, shard, "first in rendezvous order"));
  }

  private static @Nullable AgentLink first(PoolMembers members, String shard, Set<String> avoid) {
    AgentLink first = null;
    long highest = Long.MIN_VALUE;
    for (List<AgentLink> group : members.groups()) {
      for (AgentLink link : group) {
        String process = link.processName();
        long rank = rank(shard, process);
        if (link.usable() && !avoid.contains(process) && (first == null || rank > highest)) {
          first = link;
          highest = rank;
        }
      }
    }
    return first;
  }

  private static long rank(String shard, String process) {
    return Hashing.farmHashFingerprint64()
        .hashString(shard + ' ' + process, StandardCharsets.UTF_8)
        .asLong();
  }
}
