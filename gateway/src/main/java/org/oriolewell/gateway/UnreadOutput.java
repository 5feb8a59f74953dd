package org.oriolewell.gateway;

import java.time.Duration;
import org.oriolewell.runtime.net.OutputQueue;

/** Watches whether a caller reads the answers that are queued for it. */
final class UnreadOutput {
  /** Unread output above which the caller's next request is not read. */
  private static final long MAX_BYTES = 64 << 10;

  private final OutputQueue output;
  private long lastBytes;
  private long sameSince;

  UnreadOutput(OutputQueue output) {
    this.output = output;
  }

  /** Returns whether the caller must read answers before its next request is read. */
  boolean excessive() {
    return output.queuedBytes() > MAX_BYTES;
  }

  /** Starts to observe the output. */
  void observe(long now) {
    lastBytes = output.queuedBytes();
    sameSince = now;
  }

  /** Returns whether the caller has read nothing for a time, since the output was observed. */
  boolean stuck(Duration limit, long now) {
    if (output.queuedBytes() != lastBytes) {
      observe(now);
    }
    return excessive() && now - sameSince > limit.toNanos();
  }
}
