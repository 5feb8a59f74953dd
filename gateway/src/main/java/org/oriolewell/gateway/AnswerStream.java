package org.oriolewell.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/**
 * State of a server-sent event stream to a caller. The status and the headers are those of the
 * first upstream's answer; after a failure another upstream may continue the stream.
 */
final class AnswerStream {
  private final int status;
  private final HttpFields headers;
  private @Nullable String lastEventId;

  private AnswerStream(int status, HttpFields headers) {
    this.status = status;
    this.headers = headers;
  }

  /** Returns a stream of which no event was forwarded yet. */
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

  /** Returns the id of the last forwarded event that had one; null if there was none. */
  @Nullable String lastEventId() {
    return lastEventId;
  }

  /** Records that an event was forwarded; its id is null if it has none. */
  void eventForwarded(@Nullable String id) {
    if (id != null) {
      lastEventId = id;
    }
  }
}
