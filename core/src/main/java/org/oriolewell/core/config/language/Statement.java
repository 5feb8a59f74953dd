package org.oriolewell.core.config.language;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigChange;

/** A parsed statement of the operators' language. */
public sealed interface Statement {
  /** Comparison operator of a condition. */
  enum Comparison {
    /** The operator {@code =}. */
    EQUAL,
    /** The operator {@code !=}. */
    NOT_EQUAL,
    /** The operator {@code <}. */
    LESS,
    /** The operator {@code <=}. */
    AT_MOST,
    /** The operator {@code >}. */
    GREATER,
    /** The operator {@code >=}. */
    AT_LEAST
  }

  /**
   * One condition of a query, which compares a field of each row with a value.
   *
   * @param field name of the field
   * @param comparison comparison operator
   * @param value value as text; a duration is converted to milliseconds
   */
  record Condition(String field, Comparison comparison, String value) {}

  /**
   * A query for rows of one subject.
   *
   * @param subject kind of rows to list
   * @param conditions conditions that a row must meet, combined with AND
   * @param groupBy field by whose values the rows are grouped; null to group nothing
   * @param orderBy field by which the rows are sorted; null to keep the order of their source
   * @param descending whether the rows are sorted in descending order
   * @param limit most rows in the answer; 0 for no limit
   */
  record Show(
      Subject subject,
      List<Condition> conditions,
      @Nullable String groupBy,
      @Nullable String orderBy,
      boolean descending,
      int limit)
      implements Statement {
    /** Copies the list of conditions. */
    public Show {
      conditions = List.copyOf(conditions);
    }
  }

  /** A change of the configuration. */
  record Change(ConfigChange change) implements Statement {}

  /** Shows the effect that a change would have, without making it. */
  record Explain(ConfigChange change) implements Statement {}

  /** Waits until a version is in force in every connected process. */
  record WaitFor(long version) implements Statement {}

  /** Lists the changes in the change log of the document. */
  record History() implements Statement {}

  /** Shows the objects that differ between two versions. */
  record Diff(long fromVersion, long toVersion) implements Statement {}

  /** Prints the whole configuration document. */
  record Export() implements Statement {}

  /** Replaces all objects with those of an exported document. */
  record Import(String file) implements Statement {}
}
