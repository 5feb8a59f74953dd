package org.oriolewell.core.roster;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * An entry of the platform's store in which an upstream describes itself.
 *
 * @param instance the upstream as the entry describes it
 * @param sequence number of the entry among those that this start of the upstream has written; -1
 *     if the entry doesn't say
 * @param coldTime time for which the upstream is still cold; null if the entry doesn't say
 */
public record UpstreamEntry(UpstreamInstance instance, long sequence, @Nullable Duration coldTime) {
  /** Stands for an invalid time: the upstream is cold for as long as after a start. */
  public static final Duration UNKNOWN_COLD_TIME = Duration.ofNanos(-1);

  /** Creates an entry that doesn't say whether the upstream is cold. */
  public UpstreamEntry(UpstreamInstance instance, long sequence) {
    this(instance, sequence, null);
  }
}
