package org.oriolewell.core.eligibility;

import java.util.Locale;

/** Why an upstream may not be sent a call. */
public enum Reason {
  /** The upstream's availability zone is evacuated. */
  EVACUATED(false),
  /** The upstream is in a region that the call's route or workspace doesn't allow. */
  OUTSIDE_REGIONS(false),
  /** The upstream is cold and no permit for it can be had now. */
  COLD(true),
  /** The upstream has named a limit and no permit for it can be had now. */
  LIMITED(true),
  /** The upstream has announced that it leaves. */
  LEAVING(false),
  /** The upstream has asked for a pause. */
  PAUSED(false);

  private final boolean permitMissing;

  Reason(boolean permitMissing) {
    this.permitMissing = permitMissing;
  }

  /** Returns whether a call that holds a permit isn't blocked for this reason. */
  public boolean permitMissing() {
    return permitMissing;
  }

  /** Returns the name for metrics and logs. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
