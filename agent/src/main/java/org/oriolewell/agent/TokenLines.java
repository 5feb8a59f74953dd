package org.oriolewell.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads an engine's token stream, which is newline-delimited JSON with one token per line. The
 * positions of the tokens must be consecutive from the requested one, and the last line must count
 * all of them; otherwise reading fails, so that a caller never gets an answer with missing tokens.
 */
final class TokenLines {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final ByteArrayOutputStream currentLine = new ByteArrayOutputStream();
  private final int maxLineBytes;
  private long nextPosition;
  private boolean lastLineRead;

  private TokenLines(long startPosition, int maxLineBytes) {
    nextPosition = startPosition;
    this.maxLineBytes = maxLineBytes;
  }

  /**
   * Returns a reader of a stream.
   *
   * @param startPosition position of the stream's first token
   * @param maxLineBytes longest accepted line in bytes, which limits the length of a token
   */
  static TokenLines startingAt(long startPosition, int maxLineBytes) {
    return new TokenLines(startPosition, maxLineBytes);
  }

  /** Reads the next bytes of the stream and returns the tokens of the lines that they complete. */
  List<String> read(byte[] bytes) throws TokenLineException {
    List<String> tokens = new ArrayList<>();
    for (byte value : bytes) {
      if (value != '\n') {
        currentLine.write(value);
        if (currentLine.size() > maxLineBytes) {
          throw new TokenLineException("a line is longer than " + maxLineBytes + " bytes");
        }
      } else if (currentLine.size() > 0) {
        parseLine(currentLine.toByteArray(), tokens);
        currentLine.reset();
      }
    }
    return tokens;
  }

  private void parseLine(byte[] lineBytes, List<String> tokens) throws TokenLineException {
    JsonNode node;
    try {
      node = JSON.readTree(lineBytes);
    } catch (IOException e) {
      throw new TokenLineException("a line is not JSON");
    }
    if (lastLineRead) {
      throw new TokenLineException("a line follows the last one");
    }
    if (node.path("done").asBoolean(false)) {
      checkLastLine(node);
      return;
    }
    JsonNode token = node.path("token");
    long receivedPosition = node.path("position").asLong(-1);
    if (!token.isTextual() || receivedPosition != nextPosition) {
      throw new TokenLineException(
          "a line has position " + node.path("position") + ", expected a token at " + nextPosition);
    }
    nextPosition++;
    tokens.add(token.textValue());
  }

  private void checkLastLine(JsonNode node) throws TokenLineException {
    if (node.path("count").asLong(-1) != nextPosition) {
      throw new TokenLineException(
          "the last line counts " + node.path("count") + " tokens, " + nextPosition + " arrived");
    }
    lastLineRead = true;
  }

  /** Returns the position of the next token; after the last line this is the number of tokens. */
  long nextPosition() {
    return nextPosition;
  }

  /** Returns whether the last line was read. */
  boolean complete() {
    return lastLineRead;
  }
}
