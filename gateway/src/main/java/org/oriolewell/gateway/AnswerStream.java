package org.oriolewell.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/** A stream that is passed on to a caller; it keeps the head of the first upstream. */
final class AnswerStream {
  private final int status;
  private final HttpFields headers;
  private @Nullable String lastEventId;

  private AnswerStream(int status, HttpFields headers) {
    this.status = status;
    this.headers = headers;
  }

  /** Returns a stream of which nothing was passed on. */
  static AnswerStream of(int status, HttpFields headers) {
    return new AnswerStream(status, headers);
  }

  /** Returns the status of the first upstream's answer. */
  int status() {
    return status;
  }

  /** Returns the end-to-end headers of the first upstream's answer. */
  HttpFields headers() {
    return headers;
  }

  /** Returns the id of the last event that was passed on, or null. */
  @Nullable String lastEventId() {
    return lastEventId;
  }

  /** Records an event that was passed on. */
  void passed(@Nullable String id) {
    if (id != null) {
      lastEventId = id;
    }
  }
}
