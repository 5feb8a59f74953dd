package org.oriolewell.bench.calls;

import java.util.function.Consumer;
import org.oriolewell.bench.model.VirtualTime;

/** A store that answers each write after a fixed time, and not at all during an outage. */
final class ModelStore {
  private static final long TIMEOUT_NANOS = 500_000_000L;

  private final VirtualTime time;
  private final long answerNanos;
  private long writes;
  private boolean away;

  ModelStore(VirtualTime time, long answerNanos) {
    this.time = time;
    this.answerNanos = answerNanos;
  }

  long writes() {
    return writes;
  }

  void setAway(boolean away) {
    this.away = away;
  }

  /** Writes; the answer says whether the write was acknowledged. */
  void write(Consumer<Boolean> answer) {
    writes++;
    boolean lost = away;
    time.after(lost ? TIMEOUT_NANOS : answerNanos, () -> answer.accept(!lost));
  }
}
