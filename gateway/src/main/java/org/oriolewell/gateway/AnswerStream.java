package org.oriolewell.gateway;

import org.jspecify.annotations.Nullable;
import org.oriolewell.core.stream.EventSequence;

/**
 * State of a server-sent event stream to a caller, which one upstream may begin and others
 * continue. Used on the event loop only.
 */
final class AnswerStream {
  private final EventSequence events;
  private boolean started;

  private AnswerStream(EventSequence events) {
    this.events = events;
  }

  /**
   * Returns a stream of which nothing was forwarded.
   *
   * @param lastEventId id of the last event that the caller has received before; null if there is
   *     none
   */
  static AnswerStream after(@Nullable String lastEventId) {
    return new AnswerStream(EventSequence.after(lastEventId));
  }

  /** Returns whether the head was sent to the caller. */
  boolean started() {
    return started;
  }

  /** Records that the head was sent to the caller. */
  void markStarted() {
    started = true;
  }

  /** Returns the order of the stream's events. */
  EventSequence events() {
    return events;
  }
}
