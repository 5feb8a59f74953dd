package org.oriolewell.core.capacity;

/**
 * Measures the time between the events of one stream.
 *
 * <p>The events of several reads form a group whose mean gap is one observation. A gateway that is
 * short of processor time reads late, so that single gaps are too long or near zero; the mean over
 * a group hardly depends on that. Not thread-safe.
 */
public final class StreamPace {
  /** Events of a group; four events of four tokens take 50 to 140 ms. */
  private static final int GROUP_EVENTS = 4;

  /** Receives the measured gaps. */
  @FunctionalInterface
  public interface GapListener {
    /**
     * Called for the mean gap between some consecutive events of a stream.
     *
     * @param gapNanos mean time between two events in nanoseconds
     * @param now monotonic time in nanoseconds
     */
    void observe(String upstreamId, long gapNanos, long now);
  }

  private final GapListener listener;
  private final String upstreamId;
  private long groupStartedAt;
  private int groupEvents;
  private boolean started;

  private StreamPace(GapListener listener, String upstreamId) {
    this.listener = listener;
    this.upstreamId = upstreamId;
  }

  /** Returns the measurement of a stream that an upstream is about to send. */
  public static StreamPace of(GapListener listener, String upstreamId) {
    return new StreamPace(listener, upstreamId);
  }

  /**
   * Records a read of the stream.
   *
   * @param eventCount number of events that the read completed
   * @param now monotonic time in nanoseconds
   */
  public void received(int eventCount, long now) {
    if (eventCount == 0) {
      return;
    }
    // More events in one read than a group has: the gateway has read late, or its buffer was full.
    if (!started || eventCount > GROUP_EVENTS) {
      started = true;
      groupStartedAt = now;
      groupEvents = 0;
      return;
    }
    groupEvents += eventCount;
    if (groupEvents >= GROUP_EVENTS) {
      listener.observe(upstreamId, (now - groupStartedAt) / groupEvents, now);
      groupStartedAt = now;
      groupEvents = 0;
    }
  }
}
