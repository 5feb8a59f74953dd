package org.oriolewell.standins;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * A fault to inject.
 *
 * @param kind what goes wrong
 * @param value milliseconds, factor, status or number of calls, as the kind says; 0 if it has none
 * @param count number of calls that it affects; 0 for all calls
 * @param duration time until it ends by itself; null if it stays until it is cleared
 * @param on prefix of the labels of the calls that it affects, such as {@code put calls/}; empty
 *     for all calls
 */
public record Fault(Kind kind, double value, int count, @Nullable Duration duration, String on) {
  /** What goes wrong. The names in lower case are the members of {@code POST /faults}. */
  public enum Kind {
    /** Each call waits this many milliseconds before its effect. */
    DELAY_MS,
    /** Each answer waits this many milliseconds after the effect. */
    ANSWER_DELAY_MS,
    /** Calls wait without effect until the fault ends; then they run. */
    STALL,
    /**
     * The effect takes place, but the connection is closed without an answer. The value is the
     * number of tokens that a stream sends before.
     */
    DROP_ANSWER,
    /** Calls are answered with status 503 before any effect. */
    REFUSE,
    /** The effect takes place, but the answer has this status; 500 if the value is below 200. */
    FAIL,
    /**
     * Connections are closed without effect and without answer. While it affects all calls, answers
     * to earlier calls are lost too.
     */
    OUTAGE,
    /** Calls get no answer and have no effect; their connections close when the fault ends. */
    SILENCE,
    /** Service times are multiplied by this factor. */
    SLOW_FACTOR,
    /**
     * The upstream is cold and takes this many calls a second. More than 1.5 times as many and 5 in
     * one second crash it: the fault becomes an outage of the same duration, or of 3 s if it has
     * none.
     */
    COLD_PER_S,
    /** This many calls of foreign load arrive, spread evenly over the duration. */
    BURST
  }

  /** Checks the numbers. */
  public Fault {
    if (count < 0 || value < 0 || (duration != null && duration.isNegative())) {
      throw new IllegalArgumentException("a fault's numbers must not be negative");
    }
    if (kind == Kind.SLOW_FACTOR && value == 0) {
      throw new IllegalArgumentException("slow_factor must be above 0; 1 leaves times as they are");
    }
  }

  /** Returns a fault that affects all calls until it is cleared. */
  public static Fault of(Kind kind, double value) {
    return new Fault(kind, value, 0, null, "");
  }

  /** Returns a fault that affects the next calls whose label starts with a prefix. */
  public static Fault next(Kind kind, double value, int count, String on) {
    return new Fault(kind, value, count, null, on);
  }
}
