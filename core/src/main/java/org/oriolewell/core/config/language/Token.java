package org.oriolewell.core.config.language;

/**
 * A token of a statement: a word, a quoted string or a symbol.
 *
 * @param kind whether it is a word, a string, a symbol or the end
 * @param text characters of the token, without quotes and escapes
 * @param column column of its first character, from 1
 */
record Token(Kind kind, String text, int column) {
  /** Kind of a token. */
  enum Kind {
    /** Letters, digits and the characters {@code . _ - / : + %}. */
    WORD,
    /** A string in double quotes. */
    STRING,
    /** One of {@code = != < <= > >= , @}. */
    SYMBOL,
    /** The end of the statement. */
    END
  }

  /** Returns the text that error messages show for this token. */
  String displayText() {
    return kind == Kind.END ? "the end" : "'" + text + "'";
  }
}
