package org.oriolewell.core.roster;

import java.time.Duration;

/**
 * Decides how long a call for changes may wait at the store.
 *
 * <p>Load pattern: a call that ends with a change confirms the copy only up to its sending, so a
 * change that comes late in a wait leaves the copy as old as that wait. A further full wait could
 * then outlast the time for which the copy is fresh, although the store answers every call.
 *
 * @param longestWait wait of a call if the copy is fresh for long enough
 * @param shortestWait wait of a call that has to confirm the copy soon
 * @param reserve time that is left after the wait for a call that gets no answer and for the one
 *     that follows it
 */
public record WatchSchedule(Duration longestWait, Duration shortestWait, Duration reserve) {
  /**
   * Returns how long the next call may wait.
   *
   * @param freshFor time for which the copy stays fresh without a further confirmation; zero if it
   *     isn't fresh
   */
  public Duration nextWait(Duration freshFor) {
    Duration wait = freshFor.minus(reserve);
    if (wait.compareTo(shortestWait) < 0) {
      return shortestWait;
    }
    return wait.compareTo(longestWait) < 0 ? wait : longestWait;
  }
}
