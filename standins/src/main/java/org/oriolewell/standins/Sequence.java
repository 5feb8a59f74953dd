package org.oriolewell.standins;

import org.jspecify.annotations.Nullable;

/** A sequence that an engine generates. Only the engine's steps change it. */
final class Sequence {
  /** Receives the tokens of a sequence. */
  interface Sink {
    /** Takes the token at a position. */
    void token(int position, String text);

    /** Ends the sequence; the count includes the tokens before the resume position. */
    void done(int count, boolean cancelled);
  }

  final String requestId;
  final String prompt;
  final int priority;
  final long arrival;
  private final long promptHash;
  private final int resumeFrom;
  private final int end;
  private final Sink sink;
  private int position;
  private volatile boolean cancelled;

  Sequence(
      String requestId,
      String prompt,
      int priority,
      long arrival,
      int resumeFrom,
      int end,
      @Nullable Sink sink) {
    this.requestId = requestId;
    this.prompt = prompt;
    this.priority = priority;
    this.arrival = arrival;
    this.promptHash = Hashes.of(prompt);
    this.resumeFrom = resumeFrom;
    this.position = resumeFrom;
    this.end = end;
    this.sink = sink == null ? new NoSink() : sink;
  }

  /** Discards the tokens of foreign load. */
  private static final class NoSink implements Sink {
    @Override
    public void token(int position, String text) {}

    @Override
    public void done(int count, boolean cancelled) {}
  }

  void cancel() {
    cancelled = true;
  }

  /** Returns the tokens to read before the first new one, without the cached ones. */
  int prefillTokens(int cachedTokens) {
    return Math.max(0, PrefixCache.tokens(prompt) - cachedTokens) + resumeFrom;
  }

  /** Ends the sequence if it's complete or cancelled, and returns whether it has ended. */
  boolean endIfOver() {
    if (!cancelled && position < end) {
      return false;
    }
    sink.done(position, cancelled);
    return true;
  }

  /** Generates the next token. */
  void step() {
    sink.token(position, TokenText.at(promptHash, position));
    position++;
  }
}
