package org.oriolewell.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Routing decision for one call, with what the log needs to explain it.
 *
 * @param pool name of the pool of upstreams
 * @param candidates upstreams that were compared; at most four, however large the pool is
 * @param chosen host name of the chosen upstream; null if none was chosen
 * @param reason why the upstream was chosen, or why none was
 */
public record Choice(
    String pool, List<Candidate> candidates, @Nullable String chosen, Reason reason) {
  /** Why an upstream was chosen, or why none was. */
  public enum Reason {
    /** The upstream has the lowest cost of those compared, and it is in this zone. */
    ZONE,
    /**
     * The upstream has the lowest cost of those compared, and it is in another zone of this region.
     */
    REGION,
    /** No upstream of this region is usable; the call goes over the link between regions. */
    OTHER_REGION,
    /** The upstream has the highest rendezvous rank for the prompt's prefix. */
    PREFIX,
    /** A cache event says that the upstream holds the prompt's prefix. */
    CACHE,
    /** Chosen by one of the policies of {@link Baselines}. */
    BASELINE,
    /** None was chosen: there is no usable upstream that was not tried before. */
    NO_UPSTREAM,
    /** None was chosen: the upstreams of the call to be hedged are not slow. */
    NO_STRAGGLER,
    /**
     * None was chosen: only other regions have a usable upstream, and the byte budget of the link
     * between regions is used up.
     */
    LINK_BUDGET
  }
}
