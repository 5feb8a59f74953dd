package org.oriolewell.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Configured settings of a pool of upstreams.
 *
 * @param kind kind of its upstreams
 * @param shards number of shards that the pool's non-idempotent calls are divided into; can't be
 *     changed once set; 0 if the pool takes no such calls
 * @param notExecutedStatuses HTTP statuses with which its upstreams say that a call did not run
 * @param checksFencing whether its upstreams refuse a call with an old fencing token
 * @param role role of its engines, unless a host has a role of its own; null if none is set
 * @param models models that all its engines should have loaded; a host may have more
 */
public record PoolSpec(
    Kind kind,
    int shards,
    List<Integer> notExecutedStatuses,
    boolean checksFencing,
    @Nullable String role,
    List<UpstreamSpec.ModelSpec> models) {
  /** Kind of upstream that a pool consists of. */
  public enum Kind {
    /** An engine that generates tokens with a model. */
    ENGINE,
    /** An encoder, retriever or reranker. */
    STAGE,
    /** A plain service, some of whose calls may be non-idempotent. */
    SERVICE
  }

  /** Creates a pool that sets no role or model. */
  public PoolSpec(Kind kind, int shards, List<Integer> notExecutedStatuses, boolean checksFencing) {
    this(kind, shards, notExecutedStatuses, checksFencing, null, List.of());
  }

  /** Copies the lists; null becomes an empty list. */
  public PoolSpec {
    models = models == null ? List.of() : List.copyOf(models);
    notExecutedStatuses =
        notExecutedStatuses == null ? List.of() : List.copyOf(notExecutedStatuses);
  }
}
