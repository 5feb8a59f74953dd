package org.oriolewell.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads an engine's newline-delimited JSON. Positions must follow each other without a gap from the
 * position that was asked for, and the last line must count all of them; anything else is an error,
 * so that a caller never gets an answer with a hole in it.
 */
final class TokenLines {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final int maxLineBytes;
  private long next;
  private boolean done;

  private TokenLines(long from, int maxLineBytes) {
    next = from;
    this.maxLineBytes = maxLineBytes;
  }

  /**
   * Returns a reader of a stream that starts at a position.
   *
   * @param maxLineBytes longest accepted line, which bounds the longest token
   */
  static TokenLines from(long position, int maxLineBytes) {
    return new TokenLines(position, maxLineBytes);
  }

  /** Takes bytes and returns the tokens of the lines that they complete. */
  List<String> read(byte[] bytes) throws TokenLineException {
    List<String> tokens = new ArrayList<>();
    for (byte b : bytes) {
      if (b != '\n') {
        line.write(b);
        if (line.size() > maxLineBytes) {
          throw new TokenLineException("a line is longer than " + maxLineBytes + " bytes");
        }
      } else if (line.size() > 0) {
        parse(line.toByteArray(), tokens);
        line.reset();
      }
    }
    return tokens;
  }

  private void parse(byte[] bytes, List<String> tokens) throws TokenLineException {
    JsonNode node;
    try {
      node = JSON.readTree(bytes);
    } catch (IOException e) {
      throw new TokenLineException("a line is not JSON");
    }
    if (done) {
      throw new TokenLineException("a line follows the last one");
    }
    if (node.path("done").asBoolean(false)) {
      finish(node);
      return;
    }
    JsonNode token = node.path("token");
    long position = node.path("position").asLong(-1);
    if (!token.isTextual() || position != next) {
      throw new TokenLineException(
          "a line has position " + node.path("position") + ", expected a token at " + next);
    }
    next++;
    tokens.add(token.textValue());
  }

  private void finish(JsonNode node) throws TokenLineException {
    if (node.path("count").asLong(-1) != next) {
      throw new TokenLineException(
          "the last line counts " + node.path("count") + " tokens, " + next + " arrived");
    }
    done = true;
  }

  /** Returns the position of the next token, which is the count once the stream is done. */
  long position() {
    return next;
  }

  /** Returns whether the last line arrived. */
  boolean done() {
    return done;
  }
}
