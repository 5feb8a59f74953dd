package org.oriolewell.runtime.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;

/** Logs request bodies that were given up for lack of memory, with one line for many of them. */
final class BodyRefusals {
  private static final long LOG_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();

  private final EventLog log;
  private final AtomicLong unreported = new AtomicLong();
  private final AtomicLong nextLineAt = new AtomicLong(System.nanoTime());

  BodyRefusals(EventLog log) {
    this.log = log;
  }

  void report(Throwable cause) {
    unreported.incrementAndGet();
    long now = System.nanoTime();
    long dueAt = nextLineAt.get();
    if (now - dueAt >= 0 && nextLineAt.compareAndSet(dueAt, now + LOG_INTERVAL_NANOS)) {
      log.event(RuntimeEvent.BODIES_REFUSED)
          .with("count", unreported.getAndSet(0))
          .with("reason", cause.getMessage())
          .write();
    }
  }
}
