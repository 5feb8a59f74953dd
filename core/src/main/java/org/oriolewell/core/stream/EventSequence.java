package org.oriolewell.core.stream;

import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Order of the events that a caller receives in one stream, also from several upstreams one after
 * another. Ids of events increase, so that an upstream which begins a stream again instead of
 * continuing it is recognized by its first event. Not thread-safe.
 */
public final class EventSequence {
  /** Ids that fit into a long; others are only compared for equality. */
  private static final Pattern NUMERIC_ID = Pattern.compile("\\d{1,18}");

  private @Nullable String lastId;
  private boolean lastEventHadId = true;

  private EventSequence(@Nullable String lastId) {
    this.lastId = lastId;
  }

  /**
   * Returns the sequence of a stream of which no event was forwarded.
   *
   * @param lastId id of the last event that the caller has received before; null if there is none
   */
  public static EventSequence after(@Nullable String lastId) {
    return new EventSequence(lastId);
  }

  /**
   * Returns whether an event may be forwarded next: its id is higher than that of the last event
   * that had one, or differs from it if one of them is not a number.
   *
   * @param id id of the event; an event without an id (null) can follow any other
   */
  public boolean accepts(@Nullable String id) {
    String previousId = lastId;
    if (id == null || previousId == null) {
      return true;
    }
    if (NUMERIC_ID.matcher(id).matches() && NUMERIC_ID.matcher(previousId).matches()) {
      return Long.parseLong(id) > Long.parseLong(previousId);
    }
    return !id.equals(previousId);
  }

  /** Records that an event was forwarded; its id is null if it has none. */
  public void forwarded(@Nullable String id) {
    lastEventHadId = id != null;
    if (id != null) {
      lastId = id;
    }
  }

  /** Returns the id of the last event that had one; null if there was none. */
  public @Nullable String lastId() {
    return lastId;
  }

  /** Returns whether {@link #lastId()} names the place where another upstream has to continue. */
  public boolean resumable() {
    return lastEventHadId;
  }
}
