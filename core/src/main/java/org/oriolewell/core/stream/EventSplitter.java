package org.oriolewell.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Splits a byte stream of server-sent events into complete events, so that a stream that breaks off
 * in the middle of an event can continue from another upstream with that event. Not thread-safe.
 */
public final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream incompleteEvent = new ByteArrayOutputStream();

  /** Bytes of the current line, without line ends. */
  private int lineBytes;

  private EventSplitter() {}

  /**
   * A complete server-sent event.
   *
   * @param bytes the event as it was received, with the empty line that ends it
   * @param id value of its last id field; null if it has none
   */
  public record Event(byte[] bytes, @Nullable String id) {}

  /** Returns a splitter for the start of a stream. */
  public static EventSplitter create() {
    return new EventSplitter();
  }

  /** Adds received bytes and returns the events that they complete. */
  public List<Event> add(byte[] bytes) {
    List<Event> events = new ArrayList<>();
    int eventStart = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        if (lineBytes == 0) {
          incompleteEvent.write(bytes, eventStart, i + 1 - eventStart);
          events.add(event(incompleteEvent.toByteArray()));
          incompleteEvent.reset();
          eventStart = i + 1;
        }
        lineBytes = 0;
      } else if (bytes[i] != '\r') {
        lineBytes++;
      }
    }
    incompleteEvent.write(bytes, eventStart, bytes.length - eventStart);
    return events;
  }

  /** Returns whether the bytes received so far end within an event. */
  public boolean midEvent() {
    return incompleteEvent.size() > 0;
  }

  /** Returns the size of the incomplete event at the end of the received bytes, in bytes. */
  public int incompleteBytes() {
    return incompleteEvent.size();
  }

  /** Discards the bytes of an incomplete event. */
  public void reset() {
    incompleteEvent.reset();
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
