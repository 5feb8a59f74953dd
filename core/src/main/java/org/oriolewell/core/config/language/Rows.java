package org.oriolewell.core.config.language;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.language.Statement.Condition;
import org.oriolewell.core.config.language.Statement.Show;

/** Filters, groups, orders and limits rows. A row maps fields to strings, numbers or booleans. */
public final class Rows {
  private Rows() {}

  /**
   * Returns the rows that one process contributes: filtered, and if nothing is grouped also ordered
   * and limited, so that {@link #answer} over all contributions gives the whole answer.
   */
  public static List<Map<String, Object>> contribution(Show show, List<Map<String, Object>> rows) {
    List<Map<String, Object>> kept = filter(show, rows);
    return show.groupBy() == null ? limit(show, order(show, kept)) : kept;
  }

  /** Returns the answer to a question from the rows of all sources. */
  public static List<Map<String, Object>> answer(Show show, List<Map<String, Object>> rows) {
    List<Map<String, Object>> kept = filter(show, rows);
    String groupBy = show.groupBy();
    List<Map<String, Object>> result = groupBy == null ? kept : group(show, groupBy, kept);
    return limit(show, order(show, result));
  }

  private static List<Map<String, Object>> filter(Show show, List<Map<String, Object>> rows) {
    return rows.stream()
        .filter(row -> show.conditions().stream().allMatch(condition -> meets(row, condition)))
        .toList();
  }

  private static boolean meets(Map<String, Object> row, Condition condition) {
    int compared = compare(row.get(condition.field()), condition.value());
    return switch (condition.comparison()) {
      case EQUAL -> compared == 0;
      case NOT_EQUAL -> compared != 0;
      case LESS -> compared < 0;
      case AT_MOST -> compared <= 0;
      case GREATER -> compared > 0;
      case AT_LEAST -> compared >= 0;
    };
  }

  /** Compares as numbers if both are, else as text; an absent value comes first. */
  static int compare(@Nullable Object left, @Nullable Object right) {
    if (left == null || right == null) {
      return Boolean.compare(left != null, right != null);
    }
    String leftText = left.toString();
    String rightText = right.toString();
    if (NUMBER.matcher(leftText).matches() && NUMBER.matcher(rightText).matches()) {
      return Double.compare(Double.parseDouble(leftText), Double.parseDouble(rightText));
    }
    return leftText.compareTo(rightText);
  }

  private static final Pattern NUMBER = Pattern.compile("-?\\d+(\\.\\d+)?([eE]-?\\d+)?");

  private static List<Map<String, Object>> order(Show show, List<Map<String, Object>> rows) {
    String field = show.orderBy();
    if (field == null) {
      return rows;
    }
    Comparator<Map<String, Object>> ascending =
        (left, right) -> compare(left.get(field), right.get(field));
    return rows.stream().sorted(show.descending() ? ascending.reversed() : ascending).toList();
  }

  private static List<Map<String, Object>> limit(Show show, List<Map<String, Object>> rows) {
    return show.limit() == 0 ? rows : rows.stream().limit(show.limit()).toList();
  }

  private static List<Map<String, Object>> group(
      Show show, String field, List<Map<String, Object>> rows) {
    Map<String, Map<String, Object>> groups = new LinkedHashMap<>();
    for (Map<String, Object> row : rows) {
      Object value = row.getOrDefault(field, "");
      Map<String, Object> group =
          groups.computeIfAbsent(String.valueOf(value), key -> emptyGroup(show, field, value));
      group.merge("count", 1L, Rows::sum);
      for (String summed : show.subject().sums()) {
        group.merge(summed, row.getOrDefault(summed, 0L), Rows::sum);
      }
    }
    return new ArrayList<>(groups.values());
  }

  private static Map<String, Object> emptyGroup(Show show, String field, Object value) {
    Map<String, Object> group = new LinkedHashMap<>();
    group.put(field, value);
    group.put("count", 0L);
    show.subject().sums().forEach(summed -> group.put(summed, 0L));
    return group;
  }

  private static Object sum(Object left, Object right) {
    return left instanceof Number a && right instanceof Number b
        ? (Object) (a.longValue() + b.longValue())
        : left;
  }
}
