package org.oriolewell.core.routing;

import java.util.List;

/**
 * Properties of a call that determine the choice of its upstream.
 *
 * @param prefix hash of the prompt's prefix, see {@link PromptPrefix}; 0 for a call without a
 *     prompt
 * @param bytes expected size of the call and its answer in bytes, charged if the call leaves the
 *     region
 * @param excluded host names of upstreams that must not be chosen, since this call already used
 *     them
 * @param hedge whether this is a second attempt while the first one runs, which goes only to an
 *     upstream of this region without a queue
 */
public record RouteRequest(long prefix, int bytes, List<String> excluded, boolean hedge) {
  /**
   * Returns the routing request for a call without a prompt.
   *
   * @param bytes expected size of the call and its answer in bytes
   */
  public static RouteRequest call(int bytes) {
    return new RouteRequest(0, bytes, List.of(), false);
  }

  /**
   * Returns the routing request for a text generation.
   *
   * @param prefix hash of the prompt's prefix
   * @param bytes expected size of the call and its answer in bytes
   */
  public static RouteRequest generation(long prefix, int bytes) {
    return new RouteRequest(prefix, bytes, List.of(), false);
  }

  /** Returns this routing request with the given upstreams excluded, for a retry. */
  public RouteRequest excluding(List<String> usedUpstreams) {
    return new RouteRequest(prefix, bytes, List.copyOf(usedUpstreams), hedge);
  }

  /**
   * Returns the routing request for a hedge of this call, with the upstreams of its running
   * attempts excluded.
   */
  public RouteRequest hedging(List<String> usedUpstreams) {
    return new RouteRequest(prefix, bytes, List.copyOf(usedUpstreams), true);
  }
}
