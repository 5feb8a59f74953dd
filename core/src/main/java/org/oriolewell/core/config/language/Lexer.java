package org.oriolewell.core.config.language;

import java.util.ArrayList;
import java.util.List;
import org.oriolewell.core.config.language.Token.Kind;

/** Splits a statement into tokens. */
final class Lexer {
  private static final String WORD_SYMBOLS = "._-/:+%";

  private final String text;
  private final List<Token> tokens = new ArrayList<>();
  private int at;

  private Lexer(String text) {
    this.text = text;
  }

  static List<Token> tokens(String text) throws LanguageException {
    Lexer lexer = new Lexer(text);
    lexer.run();
    return lexer.tokens;
  }

  private void run() throws LanguageException {
    while (at < text.length()) {
      char next = text.charAt(at);
      if (Character.isWhitespace(next)) {
        at++;
      } else if (next == '"') {
        string();
      } else if (wordPart(next)) {
        word();
      } else {
        symbol(next);
      }
    }
    tokens.add(new Token(Kind.END, "", text.length() + 1));
  }

  private static boolean wordPart(char c) {
    return Character.isLetterOrDigit(c) || WORD_SYMBOLS.indexOf(c) >= 0;
  }

  private void word() {
    int start = at;
    while (at < text.length() && wordPart(text.charAt(at))) {
      at++;
    }
    tokens.add(new Token(Kind.WORD, text.substring(start, at), start + 1));
  }

  private void string() throws LanguageException {
    final int start = at;
    StringBuilder value = new StringBuilder();
    at++;
    while (at < text.length() && text.charAt(at) != '"') {
      if (text.charAt(at) == '\\' && at + 1 < text.length()) {
        at++;
      }
      value.append(text.charAt(at));
      at++;
    }
    if (at >= text.length()) {
      throw new LanguageException(start + 1, "a closing '\"'", "the end");
    }
    at++;
    tokens.add(new Token(Kind.STRING, value.toString(), start + 1));
  }

  private void symbol(char first) throws LanguageException {
    int length = "!<>".indexOf(first) >= 0 && text.startsWith("=", at + 1) ? 2 : 1;
    String symbol = text.substring(at, at + length);
    if (!List.of("=", "!=", "<", "<=", ">", ">=", ",", "@").contains(symbol)) {
      throw new LanguageException(at + 1, "a word, string or symbol", "'" + symbol + "'");
    }
    tokens.add(new Token(Kind.SYMBOL, symbol, at + 1));
    at += length;
  }
}
