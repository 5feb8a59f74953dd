package org.oriolewell.core.config.language;

/**
 * A word, quoted string or symbol of a statement.
 *
 * @param kind kind of token
 * @param text text, without quotes and escapes
 * @param column column of its first character, from 1
 */
record Token(Kind kind, String text, int column) {
  /** Kind of token. */
  enum Kind {
    /** Letters, digits and the characters {@code . _ - / : + %}. */
    WORD,
    /** A string in double quotes. */
    STRING,
    /** One of {@code = != < <= > >= , @}. */
    SYMBOL,
    /** The end of the text. */
    END
  }

  /** Returns the token as error messages show it. */
  String shown() {
    return kind == Kind.END ? "the end" : "'" + text + "'";
  }
}
