package org.oriolewell.entry;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The tokens of a caller's stream, kept so that it can be resumed, and how it ended. */
final class TokenLog {
  private final List<String> tokens = new ArrayList<>();
  private @Nullable Ending ending;
  private Runnable reader = () -> {};

  /**
   * What a reader may write next.
   *
   * @param tokens tokens from the asked position on
   * @param ending how the stream ended, if no token follows; else null
   */
  record Part(List<String> tokens, @Nullable Ending ending) {}

  /** Adds tokens at the end. */
  void add(List<String> items) {
    Runnable wake;
    synchronized (this) {
      tokens.addAll(items);
      wake = reader;
    }
    wake.run();
  }

  /** Ends the stream. */
  void end(Ending newEnding) {
    Runnable wake;
    synchronized (this) {
      ending = newEnding;
      wake = reader;
    }
    wake.run();
  }

  /** Sets what is called when there is something new, in place of an earlier reader. */
  synchronized void reader(Runnable newReader) {
    reader = newReader;
  }

  /** Returns up to {@code limit} tokens from a position on. */
  synchronized Part read(long position, int limit) {
    int from = (int) Math.min(position, tokens.size());
    int to = Math.min(tokens.size(), from + limit);
    return new Part(List.copyOf(tokens.subList(from, to)), to == tokens.size() ? ending : null);
  }

  /** Returns the number of tokens. */
  synchronized int size() {
    return tokens.size();
  }
}
