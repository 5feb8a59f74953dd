package org.oriolewell.core.upstream;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.upstream.UpstreamRecords.StatedLoad;

/** What one incarnation of an upstream has stated. */
final class UpstreamRecord {
  /** Time after which odd values of the same incarnation are reported again. */
  static final Duration PROBLEM_REPORT_INTERVAL = Duration.ofMinutes(1);

  private boolean leaving;
  private @Nullable Pause pause;
  private @Nullable StatedLoad load;
  private boolean problemReported;
  private long problemReportedAt;

  /** A pause that was asked for, and the return of this gateway after it. */
  private static final class Pause {
    private final long end;
    private final ResumeTurn turn;
    private long sentAfterEnd;

    private Pause(long end, ResumeTurn turn) {
      this.end = end;
      this.turn = turn;
    }

    private long nextSendAt() {
      return end + turn.nextAfter(sentAfterEnd).toNanos();
    }
  }

  boolean leaving() {
    return leaving;
  }

  /** Records that the incarnation leaves; returns whether that is new. */
  boolean leave() {
    boolean changed = !leaving;
    leaving = true;
    return changed;
  }

  /** Records a pause, unless a longer one is in force; returns whether it was recorded. */
  boolean pause(Duration duration, ResumeTurn turn, long now) {
    Pause known = pause;
    long end = now + duration.toNanos();
    if (known != null && known.end - end >= 0) {
      return false;
    }
    pause = new Pause(end, turn);
    return true;
  }

  /** Returns whether the pause has not ended. */
  boolean paused(long now) {
    Pause known = pause;
    return known != null && known.end - now > 0;
  }

  /** Returns the time until the end of the pause or, after it, until this gateway's next turn. */
  Duration blockedFor(long now) {
    Pause known = pause;
    if (known == null) {
      return Duration.ZERO;
    }
    long until = known.end - now > 0 ? known.end : known.nextSendAt();
    return Duration.ofNanos(Math.max(0, until - now));
  }

  /** Counts a request that is sent; returns whether it is the first after a pause. */
  boolean sent() {
    Pause known = pause;
    return known != null && known.sentAfterEnd++ == 0;
  }

  /** Takes back the count of a request that was not written. */
  void unsent() {
    Pause known = pause;
    if (known != null) {
      known.sentAfterEnd = Math.max(0, known.sentAfterEnd - 1);
    }
  }

  /** Returns whether a pause is in force, or this gateway sends fewer requests after it. */
  boolean restrictsSending(long now) {
    Pause known = pause;
    return leaving || (known != null && known.end + known.turn.openAfter().toNanos() - now > 0);
  }

  void load(LoadReport report, long now) {
    load = new StatedLoad(report, now);
  }

  @Nullable StatedLoad load() {
    return load;
  }

  /** Returns whether odd values are to be reported now, and counts them as reported. */
  boolean reportProblem(long now) {
    if (problemReported && now - problemReportedAt < PROBLEM_REPORT_INTERVAL.toNanos()) {
      return false;
    }
    problemReported = true;
    problemReportedAt = now;
    return true;
  }
}
