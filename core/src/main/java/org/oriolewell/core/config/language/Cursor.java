package org.oriolewell.core.config.language;

import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oriolewell.core.config.language.Token.Kind;

/** Position in the tokens of a statement, with the parsing methods that all grammar rules use. */
final class Cursor {
  private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d{1,9})(ms|s|m)");

  private final List<Token> tokens;
  private int position;

  Cursor(List<Token> tokens) {
    this.tokens = tokens;
  }

  Token peek() {
    return tokens.get(position);
  }

  Token next() {
    Token token = tokens.get(position);
    if (token.kind() != Kind.END) {
      position++;
    }
    return token;
  }

  /** Returns an exception for the next token. */
  LanguageException error(String expected) {
    return error(peek(), expected);
  }

  static LanguageException error(Token token, String expected) {
    return new LanguageException(token.column(), expected, token.displayText());
  }

  boolean isAt(String word) {
    Token token = peek();
    return token.kind() != Kind.STRING && token.text().equals(word) && !word.isEmpty();
  }

  /** Consumes the next word or symbol if it has the given text, and returns whether it does. */
  boolean acceptIf(String word) {
    if (isAt(word)) {
      position++;
      return true;
    }
    return false;
  }

  void expect(String word) throws LanguageException {
    if (!acceptIf(word)) {
      throw error("'" + word + "'");
    }
  }

  /** Consumes and returns the next word, which must be one of the given words. */
  String expectOneOf(List<String> words) throws LanguageException {
    Token token = peek();
    if (token.kind() != Kind.WORD || !words.contains(token.text())) {
      throw error(words.size() == 1 ? words.get(0) : "one of " + String.join(", ", words));
    }
    return next().text();
  }

  /** Consumes and returns a name, given as a word or a quoted string. */
  String name(String description) throws LanguageException {
    Token token = peek();
    if (token.kind() != Kind.WORD && token.kind() != Kind.STRING) {
      throw error(description);
    }
    return next().text();
  }

  /** Consumes and returns a whole number within the bounds, both included. */
  long integer(String description, long min, long max) throws LanguageException {
    Token token = next();
    String expected = description + " from " + min + " to " + max;
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

  /** Consumes a decimal number or percentage; returns 50% as 0.5. */
  double number(String description) throws LanguageException {
    Token token = next();
    boolean isPercent = token.text().endsWith("%");
    String digits = isPercent ? token.text().substring(0, token.text().length() - 1) : token.text();
    if (token.kind() != Kind.WORD || !digits.matches("\\d{1,9}(\\.\\d{1,9})?")) {
      throw error(token, description + ", such as 0.5 or 50%");
    }
    return Double.parseDouble(digits) / (isPercent ? 100 : 1);
  }

  /** Consumes a duration, such as {@code 11s}, and returns it in milliseconds. */
  long duration(String description) throws LanguageException {
    Token token = next();
    Optional<Long> millis = parseMillis(token.text());
    if (token.kind() != Kind.WORD || millis.isEmpty()) {
      throw error(token, description + ", such as 11s or 200ms");
    }
    return millis.get();
  }

  /** Returns a duration such as {@code 200ms} in milliseconds; empty for any other text. */
  static Optional<Long> parseMillis(String text) {
    Matcher matcher = DURATION_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    long unitMillis =
        switch (matcher.group(2)) {
          case "ms" -> 1;
          case "s" -> 1000;
          default -> 60_000;
        };
    return Optional.of(Long.parseLong(matcher.group(1)) * unitMillis);
  }

  void expectEnd() throws LanguageException {
    if (peek().kind() != Kind.END) {
      throw error("the end");
    }
  }
}
