package org.oriolewell.core.config;

import java.util.List;

/**
 * Settings of a pool of upstreams.
 *
 * @param kind kind of its upstreams
 * @param shards number of shards of the non-idempotent calls; fixed once set, 0 if it has none
 * @param notExecutedStatuses HTTP statuses with which its upstreams say that a call did not run
 * @param checksFencing whether its upstreams refuse an old fencing token
 */
public record PoolSpec(
    Kind kind, int shards, List<Integer> notExecutedStatuses, boolean checksFencing) {
  /** Kind of upstream. */
  public enum Kind {
    /** A model engine. */
    ENGINE,
    /** An encoder, retriever or reranker. */
    STAGE,
    /** A plain service, some of whose calls may be non-idempotent. */
    SERVICE
  }

  /** Copies the list; a missing one becomes empty. */
  public PoolSpec {
    notExecutedStatuses =
        notExecutedStatuses == null ? List.of() : List.copyOf(notExecutedStatuses);
  }
}
