package org.oriolewell.runtime.http;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the bytes of the request bodies that a server holds, from their first byte to the answer.
 * Under pressure a body that stalls or arrives slowly ends first, the oldest of them before the
 * others; if there is none, the body that needs more memory ends. Thread-safe.
 */
final class BodyBudget {
  /** Under pressure a body may not pause for longer, nor be judged by its rate before. */
  static final Duration GRACE = Duration.ofSeconds(1);

  /** Lowest rate of a body under pressure; a link of 7 Mbit/s carries 13 times as much. */
  private static final long MIN_BYTES_PER_SECOND = 64 << 10;

  private final long maxBytes;
  private final Set<Body> bodies = new LinkedHashSet<>();
  private long heldBytes;

  /** A body whose bytes count. */
  final class Body {
    private final Runnable onEvicted;
    private final long startedAt;
    private long lastGrownAt;
    private long bytes;
    private boolean complete;

    private Body(long now, Runnable onEvicted) {
      this.onEvicted = onEvicted;
      startedAt = now;
      lastGrownAt = now;
    }

    /**
     * Counts received bytes; other bodies may be evicted for them.
     *
     * @return false if the body must be given up, because the bound is reached or it was evicted
     */
    boolean grow(int addedBytes, long now) {
      @Nullable Body evicted;
      do {
        synchronized (BodyBudget.this) {
          if (!bodies.contains(this)) {
            return false;
          }
          if (heldBytes + addedBytes <= maxBytes || bodies.size() == 1) {
            heldBytes += addedBytes;
            bytes += addedBytes;
            lastGrownAt = now;
            return true;
          }
          evicted = slowestExcept(this, now);
          if (evicted == null) {
            return false;
          }
          remove(evicted);
        }
        evicted.onEvicted.run();
      } while (true);
    }

    /** Marks the body as received whole, so that it is not evicted while its request runs. */
    void complete() {
      synchronized (BodyBudget.this) {
        complete = true;
      }
    }

    /** Ends the count of the body; more calls have no effect. */
    void release() {
      synchronized (BodyBudget.this) {
        remove(this);
      }
    }

    private boolean slow(long now) {
      long graceNanos = GRACE.toNanos();
      double countedSeconds = (now - startedAt - graceNanos) / 1e9;
      return !complete
          && (now - lastGrownAt > graceNanos || bytes < countedSeconds * MIN_BYTES_PER_SECOND);
    }
  }

  private BodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns a budget; a single body is accepted even if it exceeds the bound by itself. */
  static BodyBudget of(long maxBytes) {
    return new BodyBudget(maxBytes);
  }

  /**
   * Adds a body without bytes.
   *
   * @param onEvicted called once, on any thread, if the body is evicted
   */
  synchronized Body add(long now, Runnable onEvicted) {
    Body body = new Body(now, onEvicted);
    bodies.add(body);
    return body;
  }

  private @Nullable Body slowestExcept(Body growing, long now) {
    for (Body body : bodies) {
      if (body != growing && body.slow(now)) {
        return body;
      }
    }
    return null;
  }

  private void remove(Body body) {
    if (bodies.remove(body)) {
      heldBytes -= body.bytes;
    }
  }

  long maxBytes() {
    return maxBytes;
  }
}
