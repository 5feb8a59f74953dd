package org.oriolewell.runtime.net;

import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Fails the test class during which tasks of an event loop were to overlap. */
public final class OverlapCheck implements AfterAllCallback {
  private static long reportedCount;

  @Override
  public void afterAll(ExtensionContext context) {
    long count = EventLoop.overlapCount();
    long newCount = count - reportedCount;
    reportedCount = count;
    if (newCount > 0) {
      throw new AssertionError(
          newCount + " tasks of event loops were to overlap; the log events OW-1050 name them");
    }
  }
}
