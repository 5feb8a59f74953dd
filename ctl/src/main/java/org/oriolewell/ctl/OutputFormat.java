package org.oriolewell.ctl;

/** Output format of answers. The names of the constants are the values of {@code --format}. */
enum OutputFormat {
  /** Text table with a header row; all cells of a column are padded to one width. */
  table,
  /** The entry's answer as one JSON document. */
  json,
  /** Comma-separated values (RFC 4180) with a header row. */
  csv
}
