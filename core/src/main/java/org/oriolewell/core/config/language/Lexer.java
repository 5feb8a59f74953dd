package org.oriolewell.core.config.language;

import java.util.ArrayList;
import java.util.List;
import org.oriolewell.core.config.language.Token.Kind;

/** Splits the text of a statement into tokens. */
final class Lexer {
  private static final String WORD_PUNCTUATION = "._-/:+%";

  private final String text;
  private final List<Token> tokens = new ArrayList<>();
  private int position;

  private Lexer(String text) {
    this.text = text;
  }

  static List<Token> tokenize(String text) throws LanguageException {
    Lexer lexer = new Lexer(text);
    lexer.scan();
    return lexer.tokens;
  }

  private void scan() throws LanguageException {
    while (position < text.length()) {
      char next = text.charAt(position);
      if (Character.isWhitespace(next)) {
        position++;
      } else if (next == '"') {
        scanString();
      } else if (isWordCharacter(next)) {
        scanWord();
      } else {
        scanSymbol(next);
      }
    }
    tokens.add(new Token(Kind.END, "", text.length() + 1));
  }

  private static boolean isWordCharacter(char character) {
    return Character.isLetterOrDigit(character) || WORD_PUNCTUATION.indexOf(character) >= 0;
  }

  private void scanWord() {
    int start = position;
    while (position < text.length() && isWordCharacter(text.charAt(position))) {
      position++;
    }
    tokens.add(new Token(Kind.WORD, text.substring(start, position), start + 1));
  }

  private void scanString() throws LanguageException {
    final int start = position;
    StringBuilder value = new StringBuilder();
    position++;
    while (position < text.length() && text.charAt(position) != '"') {
      if (text.charAt(position) == '\\' && position + 1 < text.length()) {
        position++;
      }
      value.append(text.charAt(position));
      position++;
    }
    if (position >= text.length()) {
      throw new LanguageException(start + 1, "a closing '\"'", "the end");
    }
    position++;
    tokens.add(new Token(Kind.STRING, value.toString(), start + 1));
  }

  private void scanSymbol(char first) throws LanguageException {
    int length = "!<>".indexOf(first) >= 0 && text.startsWith("=", position + 1) ? 2 : 1;
    String symbol = text.substring(position, position + length);
    if (!List.of("=", "!=", "<", "<=", ">", ">=", ",", "@").contains(symbol)) {
      throw new LanguageException(position + 1, "a word, string or symbol", "'" + symbol + "'");
    }
    tokens.add(new Token(Kind.SYMBOL, symbol, position + 1));
    position += length;
  }
}
