package org.oriolewell.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Splits a series of server-sent events into whole events, so that a stream that breaks off in the
 * middle of an event can go on elsewhere with that event. Not thread-safe.
 */
public final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private int lineBytes;

  private EventSplitter() {}

  /**
   * A whole event.
   *
   * @param bytes the event as it was sent, with the empty line that ends it
   * @param id value of its last id field; null if it has none
   */
  public record Event(byte[] bytes, @Nullable String id) {}

  /** Returns a splitter at the start of a stream. */
  public static EventSplitter create() {
    return new EventSplitter();
  }

  /** Takes bytes and returns the events that they complete. */
  public List<Event> add(byte[] bytes) {
    List<Event> events = new ArrayList<>();
    for (byte b : bytes) {
      pending.write(b);
      if (b == '\n') {
        if (lineBytes == 0 && pending.size() > 0) {
          events.add(event(pending.toByteArray()));
          pending.reset();
        }
        lineBytes = 0;
      } else if (b != '\r') {
        lineBytes++;
      }
    }
    return events;
  }

  /** Returns whether bytes of an incomplete event were taken. */
  public boolean midEvent() {
    return pending.size() > 0;
  }

  /** Forgets an incomplete event. */
  public void reset() {
    pending.reset();
    lineBytes = 0;
  }

  private static Event event(byte[] bytes) {
    String id = null;
    for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.startsWith(ID_FIELD)) {
        id = line.substring(ID_FIELD.length()).trim();
      }
    }
    return new Event(bytes, id);
  }
}
