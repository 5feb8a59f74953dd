package org.oriolewell.entry;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Tokens of the stream to a caller, all kept so that the stream can be resumed from any position,
 * and how the request ended. Thread-safe.
 */
final class TokenLog {
  private final List<String> tokens = new ArrayList<>();
  private @Nullable Ending ending;
  private Runnable onChange = () -> {};

  /**
   * Tokens read from the log.
   *
   * @param tokens tokens from the requested position on
   * @param ending how the request ended, if no token follows; null if it goes on or more tokens
   *     follow
   */
  record Chunk(List<String> tokens, @Nullable Ending ending) {}

  /** Appends tokens and notifies the reader. */
  void add(List<String> newTokens) {
    Runnable callback;
    synchronized (this) {
      tokens.addAll(newTokens);
      callback = onChange;
    }
    callback.run();
  }

  /** Records how the request ended and notifies the reader. */
  void end(Ending newEnding) {
    Runnable callback;
    synchronized (this) {
      ending = newEnding;
      callback = onChange;
    }
    callback.run();
  }

  /**
   * Sets the callback that is run when tokens or the ending were added, in place of the previous
   * one.
   */
  synchronized void onChange(Runnable callback) {
    onChange = callback;
  }

  /** Returns at most {@code maxTokens} tokens from a position on. */
  synchronized Chunk read(long position, int maxTokens) {
    int from = (int) Math.min(position, tokens.size());
    int to = Math.min(tokens.size(), from + maxTokens);
    return new Chunk(List.copyOf(tokens.subList(from, to)), to == tokens.size() ? ending : null);
  }

  /** Returns the number of tokens added so far. */
  synchronized int size() {
    return tokens.size();
  }
}
