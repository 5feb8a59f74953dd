package org.oriolewell.core.eligibility;

import org.oriolewell.core.roster.UpstreamInstance;

/**
 * An upstream that a call may be sent to. Only {@link EligibilityCheck} creates instances, and the
 * client for upstreams sends to nothing else, so that no call is sent without the check.
 */
public final class EligibleUpstream {
  private final UpstreamInstance instance;

  EligibleUpstream(UpstreamInstance instance) {
    this.instance = instance;
  }

  /** Returns the upstream. */
  public UpstreamInstance instance() {
    return instance;
  }
}
