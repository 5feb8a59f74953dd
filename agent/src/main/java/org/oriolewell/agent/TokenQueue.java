package org.oriolewell.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.oriolewell.runtime.wire.Message;

/** Queue of tokens that wait for credits of the dialer; it divides them into TOKENS frames. */
final class TokenQueue {
  // A char takes at most three bytes in UTF-8 (a surrogate pair takes four), and a string has a
  // MessagePack header of at most five bytes.
  private static final int MAX_BYTES_PER_CHAR = 3;
  private static final int MAX_HEADER_BYTES_PER_TOKEN = 5;

  private final Deque<String> unsentTokens = new ArrayDeque<>();
  private final int maxFrameTokenBytes;
  private long nextPosition;

  private TokenQueue(long firstPosition, int maxFrameTokenBytes) {
    this.nextPosition = firstPosition;
    this.maxFrameTokenBytes = maxFrameTokenBytes;
  }

  /**
   * Returns an empty queue.
   *
   * @param firstPosition position in the answer of the first token that will be added
   * @param maxFrameBytes largest frame in bytes
   */
  static TokenQueue startingAt(long firstPosition, int maxFrameBytes) {
    return new TokenQueue(firstPosition, maxFrameBytes - Dialer.FRAME_OVERHEAD_BYTES);
  }

  void add(List<String> newTokens) {
    unsentTokens.addAll(newTokens);
  }

  boolean isEmpty() {
    return unsentTokens.isEmpty();
  }

  int size() {
    return unsentTokens.size();
  }

  /** Removes as many tokens as fit into one frame, at least one, and returns them as a message. */
  Message.Tokens nextFrame(long stream) {
    List<String> frameTokens = new ArrayList<>();
    long estimatedBytes = 0;
    while (!unsentTokens.isEmpty()) {
      estimatedBytes +=
          MAX_HEADER_BYTES_PER_TOKEN + (long) MAX_BYTES_PER_CHAR * unsentTokens.element().length();
      if (estimatedBytes > maxFrameTokenBytes && !frameTokens.isEmpty()) {
        break;
      }
      frameTokens.add(unsentTokens.remove());
    }
    Message.Tokens frame = new Message.Tokens(stream, nextPosition, frameTokens);
    nextPosition += frameTokens.size();
    return frame;
  }
}
