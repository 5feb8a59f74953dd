package org.oriolewell.core.config.language;

import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oriolewell.core.config.language.Token.Kind;

/** A position among the tokens of a statement, with the checks that grammar rules share. */
final class Cursor {
  private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m)");

  private final List<Token> tokens;
  private int at;

  Cursor(List<Token> tokens) {
    this.tokens = tokens;
  }

  Token peek() {
    return tokens.get(at);
  }

  Token next() {
    Token token = tokens.get(at);
    if (token.kind() != Kind.END) {
      at++;
    }
    return token;
  }

  LanguageException error(String expected) {
    return error(peek(), expected);
  }

  static LanguageException error(Token token, String expected) {
    return new LanguageException(token.column(), expected, token.shown());
  }

  boolean at(String word) {
    Token token = peek();
    return token.kind() != Kind.STRING && token.text().equals(word) && !word.isEmpty();
  }

  /** Skips a word or symbol if it's next. */
  boolean skip(String word) {
    if (at(word)) {
      at++;
      return true;
    }
    return false;
  }

  void expect(String word) throws LanguageException {
    if (!skip(word)) {
      throw error("'" + word + "'");
    }
  }

  /** Returns the next word, which must be one of the given ones. */
  String choice(List<String> words) throws LanguageException {
    Token token = peek();
    if (token.kind() != Kind.WORD || !words.contains(token.text())) {
      throw error(words.size() == 1 ? words.get(0) : "one of " + String.join(", ", words));
    }
    return next().text();
  }

  /** Returns a name, as a word or a string. */
  String name(String what) throws LanguageException {
    Token token = peek();
    if (token.kind() != Kind.WORD && token.kind() != Kind.STRING) {
      throw error(what);
    }
    return next().text();
  }

  long integer(String what, long min, long max) throws LanguageException {
    Token token = next();
    String expected = what + " from " + min + " to " + max;
    try {
      long value = Long.parseLong(token.text());
      if (token.kind() == Kind.WORD && value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw error(token, expected);
    }
    throw error(token, expected);
  }

  double number(String what) throws LanguageException {
    Token token = next();
    boolean percent = token.text().endsWith("%");
    String digits = percent ? token.text().substring(0, token.text().length() - 1) : token.text();
    if (token.kind() != Kind.WORD || !digits.matches("\\d{1,9}(\\.\\d{1,9})?")) {
      throw error(token, what + ", such as 0.5 or 50%");
    }
    return Double.parseDouble(digits) / (percent ? 100 : 1);
  }

  /** Returns a duration in milliseconds. */
  long duration(String what) throws LanguageException {
    Token token = next();
    Optional<Long> millis = millis(token.text());
    if (token.kind() != Kind.WORD || millis.isEmpty()) {
      throw error(token, what + ", such as 11s or 200ms");
    }
    return millis.get();
  }

  static Optional<Long> millis(String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    long unit =
        switch (matcher.group(2)) {
          case "ms" -> 1;
          case "s" -> 1000;
          default -> 60_000;
        };
    return Optional.of(Long.parseLong(matcher.group(1)) * unit);
  }

  void end() throws LanguageException {
    if (peek().kind() != Kind.END) {
      throw error("the end");
    }
  }
}
