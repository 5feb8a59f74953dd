package org.oriolewell.core.drain;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Longest time of recent answers, by route. A time is forgotten one to two {@link #WINDOW}s after
 * it was observed. Not thread-safe.
 */
public final class AnswerTimes {
  /** Length of the time windows whose longest answers are kept. */
  static final Duration WINDOW = Duration.ofMinutes(1);

  /** Longest answers of the current and the previous window. */
  private static final class RouteTimes {
    private long windowStartedAt;
    private @Nullable Duration current;
    private @Nullable Duration previous;

    private RouteTimes(long now) {
      windowStartedAt = now;
    }

    private void advanceTo(long now) {
      long elapsedNanos = now - windowStartedAt;
      if (elapsedNanos >= 2 * WINDOW.toNanos()) {
        previous = null;
        current = null;
        windowStartedAt = now;
      } else if (elapsedNanos >= WINDOW.toNanos()) {
        previous = current;
        current = null;
        windowStartedAt += WINDOW.toNanos();
      }
    }
  }

  private final Map<String, RouteTimes> byRoute = new HashMap<>();

  private AnswerTimes() {}

  /** Returns times without observations. */
  public static AnswerTimes create() {
    return new AnswerTimes();
  }

  /**
   * Records how long an answer took.
   *
   * @param route name of the route
   * @param time time from the step that is predicted until the end of the answer
   * @param now monotonic time in nanoseconds
   */
  public void observed(String route, Duration time, long now) {
    RouteTimes times = byRoute.computeIfAbsent(route, key -> new RouteTimes(now));
    times.advanceTo(now);
    times.current = longer(times.current, time);
  }

  /**
   * Returns the longest time of recent answers; null if there were none.
   *
   * @param route name of the route
   * @param now monotonic time in nanoseconds
   */
  public @Nullable Duration longest(String route, long now) {
    RouteTimes times = byRoute.get(route);
    if (times == null) {
      return null;
    }
    times.advanceTo(now);
    Duration current = times.current;
    return current == null ? times.previous : longer(times.previous, current);
  }

  private static Duration longer(@Nullable Duration first, Duration second) {
    return first == null || first.compareTo(second) < 0 ? second : first;
  }
}
