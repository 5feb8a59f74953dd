package org.oriolewell.core.drain;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.deadline.LatencyHistogram;

/** Times of recent answers, by route. Not thread-safe. */
public final class AnswerTimes {
  /** Length of the time windows whose longest answers are kept. */
  static final Duration WINDOW = Duration.ofMinutes(1);

  /** Share of the answers that take at most the usual time. */
  static final double USUAL_SHARE = 0.9;

  /** Answers after which earlier ones count half. */
  private static final int ANSWERS_PER_HALVING = 64;

  /**
   * Times of the recent answers of a route.
   *
   * @param usual time that nine of ten answers don't exceed
   * @param longest longest time of the last one to two minutes; the usual time if there was no
   *     answer
   */
  public record Recent(Duration usual, Duration longest) {}

  /** Answers of one route; the longest ones of the current and the previous window. */
  private static final class RouteTimes {
    private final LatencyHistogram histogram = LatencyHistogram.create(ANSWERS_PER_HALVING);
    private long windowStartedAt;
    private Duration longestOfCurrent = Duration.ZERO;
    private Duration longestOfPrevious = Duration.ZERO;

    private RouteTimes(long now) {
      windowStartedAt = now;
    }

    private void advanceTo(long now) {
      long elapsedNanos = now - windowStartedAt;
      if (elapsedNanos >= WINDOW.toNanos()) {
        boolean adjacent = elapsedNanos < 2 * WINDOW.toNanos();
        longestOfPrevious = adjacent ? longestOfCurrent : Duration.ZERO;
        longestOfCurrent = Duration.ZERO;
        windowStartedAt = adjacent ? windowStartedAt + WINDOW.toNanos() : now;
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
    times.longestOfCurrent = longer(times.longestOfCurrent, time);
    times.histogram.record(time.toNanos());
  }

  /**
   * Returns the times of the recent answers of a route; null if there were none.
   *
   * @param now monotonic time in nanoseconds
   */
  public @Nullable Recent recent(String route, long now) {
    RouteTimes times = byRoute.get(route);
    if (times == null) {
      return null;
    }
    times.advanceTo(now);
    Duration usual = Duration.ofNanos(times.histogram.quantile(USUAL_SHARE));
    Duration longest = longer(times.longestOfPrevious, times.longestOfCurrent);
    if (longest.isZero()) {
      return new Recent(usual, usual);
    }
    // The histogram rounds up and forgets by the number of answers.
    return new Recent(usual.compareTo(longest) < 0 ? usual : longest, longest);
  }

  private static Duration longer(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? second : first;
  }
}
