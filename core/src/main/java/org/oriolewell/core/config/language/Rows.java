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

/**
 * Evaluates a {@code show} statement: filters, groups, orders and limits rows. A row maps the names
 * of fields to strings, numbers or booleans.
 */
public final class Rows {
  private Rows() {}

  /**
   * Returns the rows that one process contributes to a query: filtered, and unless they are to be
   * grouped also ordered and limited. {@link #answer} evaluates the contributions of all processes.
   */
  public static List<Map<String, Object>> contribution(Show show, List<Map<String, Object>> rows) {
    List<Map<String, Object>> filtered = filter(show, rows);
    return show.groupBy() == null ? limit(show, order(show, filtered)) : filtered;
  }

  /** Returns the rows that answer a query, evaluated over the rows of all processes. */
  public static List<Map<String, Object>> answer(Show show, List<Map<String, Object>> rows) {
    List<Map<String, Object>> filtered = filter(show, rows);
    String groupBy = show.groupBy();
    List<Map<String, Object>> result = groupBy == null ? filtered : group(show, groupBy, filtered);
    return limit(show, order(show, result));
  }

  private static List<Map<String, Object>> filter(Show show, List<Map<String, Object>> rows) {
    return rows.stream()
        .filter(row -> show.conditions().stream().allMatch(condition -> matches(row, condition)))
        .toList();
  }

  private static boolean matches(Map<String, Object> row, Condition condition) {
    int comparisonResult = compare(row.get(condition.field()), condition.value());
    return switch (condition.comparison()) {
      case EQUAL -> comparisonResult == 0;
      case NOT_EQUAL -> comparisonResult != 0;
      case LESS -> comparisonResult < 0;
      case AT_MOST -> comparisonResult <= 0;
      case GREATER -> comparisonResult > 0;
      case AT_LEAST -> comparisonResult >= 0;
    };
  }

  /** Compares two values as numbers if both are numbers, else as text; null is the lowest. */
  static int compare(@Nullable Object left, @Nullable Object right) {
    if (left == null || right == null) {
      return Boolean.compare(left != null, right != null);
    }
    String leftText = left.toString();
    String rightText = right.toString();
    if (NUMBER_PATTERN.matcher(leftText).matches() && NUMBER_PATTERN.matcher(rightText).matches()) {
      return Double.compare(Double.parseDouble(leftText), Double.parseDouble(rightText));
    }
    return leftText.compareTo(rightText);
  }

  private static final Pattern NUMBER_PATTERN = Pattern.compile("-?\\d+(\\.\\d+)?([eE]-?\\d+)?");

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
      for (String summedField : show.subject().summedFields()) {
        group.merge(summedField, row.getOrDefault(summedField, 0L), Rows::sum);
      }
    }
    return new ArrayList<>(groups.values());
  }

  private static Map<String, Object> emptyGroup(Show show, String field, Object value) {
    Map<String, Object> group = new LinkedHashMap<>();
    group.put(field, value);
    group.put("count", 0L);
    show.subject().summedFields().forEach(summedField -> group.put(summedField, 0L));
    return group;
  }

  private static Object sum(Object left, Object right) {
    return left instanceof Number a && right instanceof Number b
        ? (Object) (a.longValue() + b.longValue())
        : left;
  }
}
