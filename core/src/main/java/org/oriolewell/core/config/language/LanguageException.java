package org.oriolewell.core.config.language;

/** Reports text that isn't a statement. The operator who wrote it must act. */
public final class LanguageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int column;

  /**
   * Creates an exception.
   *
   * @param column column of the first wrong character, from 1
   * @param expected what was expected there
   * @param found what was found there
   */
  LanguageException(int column, String expected, String found) {
    super("column " + column + ": expected " + expected + ", found " + found);
    this.column = column;
  }

  /** Returns the column of the first wrong character, from 1. */
  public int column() {
    return column;
  }
}
