package org.oriolewell.ctl;

/** Format of answers. The constants' names are the values of {@code --format}. */
enum OutputFormat {
  /** Columns padded to the same width, with a header. */
  table,
  /** The entry's answer as one JSON document. */
  json,
  /** Comma-separated values (RFC 4180), with a header. */
  csv
}
