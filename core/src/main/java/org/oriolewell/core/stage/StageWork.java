package org.oriolewell.core.stage;

import java.util.List;

/**
 * Work for a stage dispatcher: the pieces of one stage of one request.
 *
 * @param ticket number of the work, unique among the work that the same gateway submits
 * @param origin name of the gateway that serves the request and submits the work
 * @param requestId identifier of the request
 * @param stage index of the stage in its route
 * @param service service that runs the stage
 * @param zone availability zone in which the work should run; empty for none
 * @param rank urgency; the lowest rank runs first
 * @param latestStart latest time at which the work can start if the request is to meet its target,
 *     monotonic nanoseconds
 * @param deadline time after which the results are useless, monotonic nanoseconds
 * @param resultBytes approximate size of one result, in bytes
 * @param pieces numbers of the stage's pieces that are to be processed
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
  /** Copies the lists of pieces and inputs. */
  public StageWork {
    pieces = List.copyOf(pieces);
    inputs = List.copyOf(inputs);
  }
}
