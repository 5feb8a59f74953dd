package org.oriolewell.core.upstream;

import org.oriolewell.core.roster.UpstreamInstance;

/**
 * Identifies one start of one upstream.
 *
 * @param id identifier of the upstream, which later starts may reuse
 * @param startedMillis start time, Unix time in milliseconds; 0 if the upstream doesn't state it
 */
public record Incarnation(String id, long startedMillis) {
  /** Returns the incarnation that an upstream's entry describes. */
  public static Incarnation of(UpstreamInstance upstream) {
    return new Incarnation(upstream.id(), upstream.startedMillis());
  }
}
