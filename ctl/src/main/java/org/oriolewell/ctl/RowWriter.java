package org.oriolewell.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Formats JSON objects as rows of a text table or of comma-separated values (CSV). Columns are in
 * the order in which their field names first occur.
 */
final class RowWriter {
  private static final String CSV_LINE_END = "\r\n";

  private RowWriter() {}

  /** Formats an array of JSON objects as a text table with a header row. */
  static String formatTable(JsonNode rows) {
    List<List<String>> cellRows = headerAndRows(rows);
    if (cellRows.size() < 2) {
      return "no rows\n";
    }
    List<Integer> columnWidths = new ArrayList<>();
    for (int column = 0; column < cellRows.get(0).size(); column++) {
      int columnIndex = column;
      columnWidths.add(
          cellRows.stream()
              .mapToInt(rowCells -> rowCells.get(columnIndex).length())
              .max()
              .orElse(0));
    }
    return joinLines(
        cellRows,
        rowCells -> {
          StringBuilder lineText = new StringBuilder();
          for (int column = 0; column < rowCells.size(); column++) {
            lineText.append(
                String.format("%-" + (columnWidths.get(column) + 2) + "s", rowCells.get(column)));
          }
          return lineText.toString().stripTrailing() + "\n";
        });
  }

  /** Formats an array of JSON objects as CSV (RFC 4180) with a header row. */
  static String formatCsv(JsonNode rows) {
    return joinLines(
        headerAndRows(rows),
        rowCells ->
            String.join(",", rowCells.stream().map(RowWriter::quoteCsvCell).toList())
                + CSV_LINE_END);
  }

  private static String joinLines(
      List<List<String>> cellRows, Function<List<String>, String> rowFormatter) {
    return String.join("", cellRows.stream().map(rowFormatter).toList());
  }

  /** Quotes a CSV cell that holds a quote, a comma or a line break. */
  private static String quoteCsvCell(String cell) {
    boolean needsNoQuotes =
        cell.chars().noneMatch(c -> c == '"' || c == ',' || c == '\n' || c == '\r');
    return needsNoQuotes ? cell : '"' + cell.replace("\"", "\"\"") + '"';
  }

  /** Returns the column names and then the cells of each row; empty if no row has a field. */
  private static List<List<String>> headerAndRows(JsonNode rows) {
    Set<String> columnNames = new LinkedHashSet<>();
    rows.forEach(row -> row.fieldNames().forEachRemaining(columnNames::add));
    List<List<String>> cellRows = new ArrayList<>();
    if (columnNames.isEmpty()) {
      return cellRows;
    }
    cellRows.add(List.copyOf(columnNames));
    for (JsonNode row : rows) {
      cellRows.add(columnNames.stream().map(columnName -> cellText(row.path(columnName))).toList());
    }
    return cellRows;
  }

  private static String cellText(JsonNode value) {
    return value.isContainerNode() ? value.toString() : value.asText();
  }
}
