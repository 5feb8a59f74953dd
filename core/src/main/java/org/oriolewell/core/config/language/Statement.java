package org.oriolewell.core.config.language;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigChange;

/** A parsed statement. */
public sealed interface Statement {
  /** Comparison of a condition. */
  enum Comparison {
    /** Equal. */
    EQUAL,
    /** Not equal. */
    NOT_EQUAL,
    /** Less. */
    LESS,
    /** Less or equal. */
    AT_MOST,
    /** Greater. */
    GREATER,
    /** Greater or equal. */
    AT_LEAST
  }

  /**
   * One condition of a question.
   *
   * @param field field of the row
   * @param comparison comparison
   * @param value value as text; a duration is given in milliseconds
   */
  record Condition(String field, Comparison comparison, String value) {}

  /**
   * A question.
   *
   * @param subject what is listed
   * @param conditions conditions that a row must meet, all of them
   * @param groupBy field whose values make groups; null for none
   * @param orderBy field that orders the rows; null for the order of the source
   * @param descending whether the order is reversed
   * @param limit most rows of the answer; 0 for no limit
   */
  record Show(
      Subject subject,
      List<Condition> conditions,
      @Nullable String groupBy,
      @Nullable String orderBy,
      boolean descending,
      int limit)
      implements Statement {
    /** Copies the conditions. */
    public Show {
      conditions = List.copyOf(conditions);
    }
  }

  /** A change of the configuration. */
  record Change(ConfigChange change) implements Statement {}

  /** Shows what a change would do, without doing it. */
  record Explain(ConfigChange change) implements Statement {}

  /** Waits until a version is in force in every connected process. */
  record WaitFor(long version) implements Statement {}

  /** Lists the kept changes. */
  record History() implements Statement {}

  /** Shows the objects that differ between two versions. */
  record Diff(long from, long to) implements Statement {}

  /** Prints the whole document. */
  record Export() implements Statement {}

  /** Replaces all objects by those of an exported document. */
  record Import(String file) implements Statement {}
}
