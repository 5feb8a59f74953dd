package org.oriolewell.core.stage;

import java.util.List;

/**
 * The pieces of one stage of one request, as they are handed to a dispatcher.
 *
 * @param ticket number of this work, unique in its origin
 * @param origin process that owns the request
 * @param requestId identifier of the request
 * @param stage index of the stage
 * @param service service that runs the stage
 * @param zone availability zone in which the work should run; empty for none
 * @param rank urgency, the lowest first
 * @param latestStart last moment at which the work can begin if the request is to be on time,
 *     monotonic nanoseconds
 * @param deadline moment after which the results are useless, monotonic nanoseconds
 * @param resultBytes approximate size of one result
 * @param pieces numbers of the pieces
 * @param key piece key of the request; empty if the stage has inputs
 * @param inputs handles of the results that the stage reads; empty for a first stage
 */
public record StageWork(
    long ticket,
    String origin,
    String requestId,
    int stage,
    String service,
    String zone,
    int rank,
    long latestStart,
    long deadline,
    long resultBytes,
    List<Integer> pieces,
    String key,
    List<String> inputs) {
  /** Copies the lists. */
  public StageWork {
    pieces = List.copyOf(pieces);
    inputs = List.copyOf(inputs);
  }
}
