package org.oriolewell.core.overload;

/**
 * What one connection of a caller holds of its process's memory, and how its current request gets
 * on. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class CallerHolding {
  /** What memory is held for. */
  public enum Kind {
    /** Objects of a connection, whether or not it is used. */
    CONNECTION,
    /** Input that was read and not parsed, such as pipelined requests. */
    UNPARSED,
    /** Head of the current request. */
    HEAD,
    /** Body of a request that has not been read whole. */
    BODY,
    /** Body of a request that waits or runs; it is kept for a second attempt. */
    RUNNING
  }

  /**
   * Bytes that count as progress. Fewer don't, so that a caller can't keep what it holds by a byte
   * now and then.
   */
  private static final long PROGRESS_BYTES = 16 << 10;

  /** Weight of the time without progress against the time since the start of the request. */
  private static final double STALLED_WEIGHT = 4;

  private final CallerMemory memory;
  private final long[] bytesByKind = new long[Kind.values().length];
  private long bytes;
  private long startedAt;
  private long progressAt;
  private long bytesSinceProgress;
  private long pausedAt;
  private boolean paused;
  private boolean running;
  private boolean closed;

  private CallerHolding(CallerMemory memory, long now) {
    this.memory = memory;
    begin(now);
  }

  /** Returns what a connection holds that is not yet in an account. */
  public static CallerHolding of(CallerMemory memory, long now) {
    return new CallerHolding(memory, now);
  }

  /** Records that a request begins, or that the connection waits for the next one. */
  public void begin(long now) {
    startedAt = now;
    progressAt = now;
    bytesSinceProgress = 0;
    running = false;
  }

  /** Sets how many bytes are held for a purpose; does nothing after the end of the connection. */
  public void set(Kind kind, long newBytes, long now) {
    long addedBytes = newBytes - bytesByKind[kind.ordinal()];
    if (addedBytes != 0 && !closed) {
      bytesByKind[kind.ordinal()] = newBytes;
      bytes += addedBytes;
      memory.changed(addedBytes, now);
    }
  }

  /** Records that bytes of the current request have arrived. */
  public void received(long receivedBytes, long now) {
    bytesSinceProgress += receivedBytes;
    if (bytesSinceProgress >= PROGRESS_BYTES) {
      bytesSinceProgress = 0;
      progressAt = now;
    }
  }

  /** Records that the current request was read whole and may run. */
  public void run() {
    running = true;
  }

  /** Records that the process stops reading the connection, which the caller is not blamed for. */
  public void pause(long now) {
    if (!paused) {
      paused = true;
      pausedAt = now;
    }
  }

  /**
   * Records that the connection is read again.
   *
   * @return time for which it was paused, in nanoseconds
   */
  public long resume(long now) {
    if (!paused) {
      return 0;
    }
    paused = false;
    progressAt += now - pausedAt;
    return now - pausedAt;
  }

  /** Releases everything; the connection has ended. */
  public void close(long now) {
    if (!closed) {
      closed = true;
      memory.remove(this);
      memory.changed(-bytes, now);
    }
  }

  /** Returns the sum of what the connection holds, in bytes. */
  public long bytes() {
    return bytes;
  }

  /** Returns what the connection holds for a purpose, in bytes. */
  public long bytes(Kind kind) {
    return bytesByKind[kind.ordinal()];
  }

  /** Returns what the connection holds besides its own objects, in bytes. */
  long variableBytes() {
    return bytes - bytesByKind[Kind.CONNECTION.ordinal()];
  }

  /** Returns whether the current request was read whole and has not ended. */
  boolean running() {
    return running;
  }

  /** Returns how much is gained by giving up the request: bytes, weighted by unproductive time. */
  double score(long now) {
    double stalledNanos = Math.max(0, (paused ? pausedAt : now) - progressAt);
    double heldNanos = Math.max(0, now - startedAt);
    return bytes * (1e6 + heldNanos + STALLED_WEIGHT * stalledNanos);
  }
}
