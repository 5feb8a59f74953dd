package org.oriolewell.core.stage;

import java.time.Duration;
import java.util.List;
import org.oriolewell.core.roster.UpstreamInstance;

/**
 * A call that a dispatcher makes.
 *
 * @param id number of the call, unique in its queue
 * @param upstream who runs it
 * @param items pieces, in the order in which their results are returned
 * @param expected expected time of the call
 */
public record StageCall(long id, UpstreamInstance upstream, List<Item> items, Duration expected) {
  /** Copies the list. */
  public StageCall {
    items = List.copyOf(items);
  }

  /**
   * A piece in a call.
   *
   * @param work work that it belongs to
   * @param piece number of the piece
   */
  public record Item(StageWork work, int piece) {}
}
