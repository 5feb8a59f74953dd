package org.oriolewell.core.routing;

import java.util.List;

/**
 * What is to be routed.
 *
 * @param prefix hash of the prompt's prefix, see {@link PromptPrefix}; 0 for a call without a
 *     prompt
 * @param bytes expected bytes of call and answer, charged if the call leaves the region
 * @param excluded host names already tried for this call
 * @param hedge whether this is a hedge, which goes only to an upstream of this region without a
 *     queue
 */
public record RouteRequest(long prefix, int bytes, List<String> excluded, boolean hedge) {
  /** Returns the request for a call without a prompt. */
  public static RouteRequest call(int bytes) {
    return new RouteRequest(0, bytes, List.of(), false);
  }

  /** Returns the request for a generating call whose prompt begins with the given prefix hash. */
  public static RouteRequest generation(long prefix, int bytes) {
    return new RouteRequest(prefix, bytes, List.of(), false);
  }

  /** Returns this request without the given upstreams. */
  public RouteRequest excluding(List<String> tried) {
    return new RouteRequest(prefix, bytes, List.copyOf(tried), hedge);
  }

  /** Returns the request for a hedge of this call, which excludes the upstreams in use. */
  public RouteRequest hedging(List<String> tried) {
    return new RouteRequest(prefix, bytes, List.copyOf(tried), true);
  }
}
