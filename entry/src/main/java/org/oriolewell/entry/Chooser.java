package org.oriolewell.entry;

import java.util.Optional;
import java.util.Set;

/** Chooses the agent that gets an idempotent call. */
@FunctionalInterface
interface Chooser {
  /**
   * A choice and what led to it.
   *
   * @param link the chosen agent
   * @param candidates the agents compared, with what was compared
   * @param reason why this one was chosen
   */
  record Choice(AgentLink link, String candidates, String reason) {}

  /**
   * Chooses one of a pool's agents.
   *
   * @param avoid process names that failed this call, used only if there is no other
   * @return the choice, or empty if no agent takes calls
   */
  Optional<Choice> choose(PoolMembers members, Set<String> avoid);
}
