package org.oriolewell.entry;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Takes the nearest group of agents that has a usable one and chooses the one of two random members
 * with fewer calls of this entry.
 */
final class TwoChoices implements Chooser {
  private final RandomGenerator random;

  TwoChoices(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public Optional<Choice> choose(PoolMembers members, Set<String> avoid) {
    for (List<AgentLink> group : members.groups()) {
      Optional<Choice> choice = among(group, avoid);
      if (choice.isPresent()) {
        return choice;
      }
    }
    if (avoid.isEmpty()) {
      return Optional.empty();
    }
    return choose(members, Set.of());
  }

  private Optional<Choice> among(List<AgentLink> group, Set<String> avoid) {
    AgentLink first = scan(group, avoid, null);
    if (first == null) {
      return Optional.empty();
    }
    AgentLink second = scan(group, avoid, first);
    if (second == null) {
      return Optional.of(new Choice(first, describe(first), "only usable agent"));
    }
    AgentLink better = second.inFlight() < first.inFlight() ? second : first;
    return Optional.of(
        new Choice(better, describe(first) + " " + describe(second), "fewer calls in flight"));
  }

  /** Returns the first usable agent at or after a random index. */
  private @Nullable AgentLink scan(
      List<AgentLink> group, Set<String> avoid, @Nullable AgentLink except) {
    int size = group.size();
    int start = size == 0 ? 0 : random.nextInt(size);
    for (int i = 0; i < size; i++) {
      AgentLink link = group.get((start + i) % size);
      if (link != except && link.usable() && !avoid.contains(link.processName())) {
        return link;
      }
    }
    return null;
  }

  private static String describe(AgentLink link) {
    return link.processName() + "(" + link.inFlight() + ")";
  }
}
