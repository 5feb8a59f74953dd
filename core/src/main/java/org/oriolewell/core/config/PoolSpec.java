package org.oriolewell.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a pool of upstreams.
 *
 * @param kind kind of its upstreams
 * @param shards number of shards of the non-idempotent calls; fixed once set, 0 if it has none
 * @param notExecutedStatuses HTTP statuses with which its upstreams say that a call did not run
 * @param checksFencing whether its upstreams refuse an old fencing token
 * @param role role of its engines unless a host has its own; null to leave them as they are
 * @param models models that its engines should have, besides those of a single host
 */
public record PoolSpec(
    Kind kind,
    int shards,
    List<Integer> notExecutedStatuses,
    boolean checksFencing,
    @Nullable String role,
    List<UpstreamSpec.ModelSpec> models) {
  /** Kind of upstream. */
  public enum Kind {
    /** A model engine. */
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

  /** Copies the lists; a missing one becomes empty. */
  public PoolSpec {
    models = models == null ? List.of() : List.copyOf(models);
    notExecutedStatuses =
        notExecutedStatuses == null ? List.of() : List.copyOf(notExecutedStatuses);
  }
}
