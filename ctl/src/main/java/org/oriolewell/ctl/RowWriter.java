package org.oriolewell.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Writes rows as a table or as comma-separated values. Columns are in the order they first occur.
 */
final class RowWriter {
  private static final String LINE_END_CSV = "\r\n";

  private RowWriter() {}

  static String table(JsonNode rows) {
    List<List<String>> cells = cells(rows);
    if (cells.size() < 2) {
      return "no rows\n";
    }
    List<Integer> widths = new ArrayList<>();
    for (int column = 0; column < cells.get(0).size(); column++) {
      int at = column;
      widths.add(cells.stream().mapToInt(line -> line.get(at).length()).max().orElse(0));
    }
    return lines(
        cells,
        line -> {
          StringBuilder text = new StringBuilder();
          for (int column = 0; column < line.size(); column++) {
            text.append(String.format("%-" + (widths.get(column) + 2) + "s", line.get(column)));
          }
          return text.toString().stripTrailing() + "\n";
        });
  }

  static String csv(JsonNode rows) {
    return lines(
        cells(rows),
        line -> String.join(",", line.stream().map(RowWriter::quoted).toList()) + LINE_END_CSV);
  }

  private static String lines(List<List<String>> cells, Function<List<String>, String> writer) {
    return String.join("", cells.stream().map(writer).toList());
  }

  private static String quoted(String cell) {
    boolean plain = cell.chars().noneMatch(c -> c == '"' || c == ',' || c == '\n' || c == '\r');
    return plain ? cell : '"' + cell.replace("\"", "\"\"") + '"';
  }

  /** Returns the header and all rows as texts, all of the same length. */
  private static List<List<String>> cells(JsonNode rows) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
    List<List<String>> cells = new ArrayList<>();
    if (columns.isEmpty()) {
      return cells;
    }
    cells.add(List.copyOf(columns));
    for (JsonNode row : rows) {
      cells.add(columns.stream().map(column -> text(row.path(column))).toList());
    }
    return cells;
  }

  private static String text(JsonNode value) {
    return value.isContainerNode() ? value.toString() : value.asText();
  }
}
