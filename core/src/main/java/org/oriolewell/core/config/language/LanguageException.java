package org.oriolewell.core.config.language;

/** Thrown for text that isn't a valid statement; the operator must correct it. */
public final class LanguageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int column;

  /**
   * Creates an exception whose message names the position and the expected text.
   *
   * @param column column of the first invalid character, from 1
   * @param expected what the grammar expects at that column
   * @param found what the text has at that column
   */
  LanguageException(int column, String expected, String found) {
    super("column " + column + ": expected " + expected + ", found " + found);
    this.column = column;
  }

  /** Returns the column of the first invalid character, from 1. */
  public int column() {
    return column;
  }
}
