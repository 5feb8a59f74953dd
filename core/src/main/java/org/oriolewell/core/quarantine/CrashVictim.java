package org.oriolewell.core.quarantine;

import java.util.List;

/**
 * A request that an upstream was running when it crashed, and that may be the cause of the crash.
 *
 * @param requestId identifier of the caller's attempt
 * @param subjects ids of the subjects of the prompt that other requests may share, in order
 */
public record CrashVictim(String requestId, List<String> subjects) {
  /** Copies the list of subjects. */
  public CrashVictim {
    subjects = List.copyOf(subjects);
  }
}
