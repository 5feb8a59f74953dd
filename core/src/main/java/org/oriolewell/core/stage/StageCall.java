package org.oriolewell.core.stage;

import java.time.Duration;
import java.util.List;
import org.oriolewell.core.roster.UpstreamInstance;

/**
 * One call from a stage dispatcher to an upstream, with a batch of pieces of one or more requests.
 *
 * @param id number of the call, unique in its queue
 * @param upstream upstream that receives the call
 * @param items pieces of the batch, in the order in which the upstream returns their results
 * @param expectedDuration expected duration of the call
 */
public record StageCall(
    long id, UpstreamInstance upstream, List<Item> items, Duration expectedDuration) {
  /** Copies the list of pieces. */
  public StageCall {
    items = List.copyOf(items);
  }

  /**
   * One piece of a call's batch.
   *
   * @param work stage work that the piece belongs to
   * @param piece number of the piece in its stage, from 0
   */
  public record Item(StageWork work, int piece) {}
}
