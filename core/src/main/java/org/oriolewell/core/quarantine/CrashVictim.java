package org.oriolewell.core.quarantine;

import java.util.List;

/**
 * A request that an engine was running when it crashed, and that may be the cause of the crash.
 *
 * @param requestId identifier of the caller's attempt
 * @param promptParts ids of the parts of the prompt that other requests may share, in order
 */
public record CrashVictim(String requestId, List<String> promptParts) {
  /** Copies the list of parts. */
  public CrashVictim {
    promptParts = List.copyOf(promptParts);
  }
}
