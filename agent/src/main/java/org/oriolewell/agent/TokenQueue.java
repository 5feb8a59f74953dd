package org.oriolewell.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.oriolewell.runtime.wire.Message;

/** Tokens that wait for credit, and their division into frames. */
final class TokenQueue {
  // A character takes at most three bytes in UTF-8 (a surrogate pair takes four) and a string at
  // most five bytes of header.
  private static final int BYTES_PER_CHAR = 3;
  private static final int BYTES_PER_ITEM = 5;

  private final Deque<String> tokens = new ArrayDeque<>();
  private final int maxBytes;
  private long position;

  private TokenQueue(long position, int maxBytes) {
    this.position = position;
    this.maxBytes = maxBytes;
  }

  /** Returns an empty batch whose first token will have the given position. */
  static TokenQueue from(long position, int maxFrameBytes) {
    return new TokenQueue(position, maxFrameBytes - Dialer.FRAME_OVERHEAD);
  }

  void add(List<String> items) {
    tokens.addAll(items);
  }

  boolean isEmpty() {
    return tokens.isEmpty();
  }

  int size() {
    return tokens.size();
  }

  /** Removes as many tokens as fit into a frame, at least one, and returns them as a message. */
  Message.Tokens nextFrame(long stream) {
    List<String> items = new ArrayList<>();
    long bytes = 0;
    while (!tokens.isEmpty()) {
      bytes += BYTES_PER_ITEM + (long) BYTES_PER_CHAR * tokens.element().length();
      if (bytes > maxBytes && !items.isEmpty()) {
        break;
      }
      items.add(tokens.remove());
    }
    Message.Tokens frame = new Message.Tokens(stream, position, items);
    position += items.size();
    return frame;
  }
}
