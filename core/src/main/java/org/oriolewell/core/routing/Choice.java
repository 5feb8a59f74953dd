package org.oriolewell.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A routing decision, complete enough for the log.
 *
 * @param pool pool
 * @param candidates upstreams that were compared; at most four, however large the pool is
 * @param chosen host name of the chosen upstream; null if there is none
 * @param reason why it was chosen
 */
public record Choice(
    String pool, List<Candidate> candidates, @Nullable String chosen, Reason reason) {
  /** Why an upstream was chosen, or why none was. */
  public enum Reason {
    /** Lowest cost of the compared upstreams in this zone. */
    ZONE,
    /** Lowest cost, in another zone of this region. */
    REGION,
    /** No upstream of this region is usable; the call goes over the link between regions. */
    OTHER_REGION,
    /** First upstream for the prompt's prefix by hashing. */
    PREFIX,
    /** A cache event says that the upstream holds the prompt's prefix. */
    CACHE,
    /** Chosen by a baseline. */
    BASELINE,
    /** None: there is no usable upstream that was not tried before. */
    NO_UPSTREAM,
    /** None: the upstreams of the call to be hedged are not slow. */
    NO_STRAGGLER,
    /** None: only other regions have a usable upstream and the link's byte budget is used up. */
    LINK_BUDGET
  }
}
