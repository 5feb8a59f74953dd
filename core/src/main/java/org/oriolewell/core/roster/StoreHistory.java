package org.oriolewell.core.roster;

import java.time.Duration;

/**
 * Decides what a gateway may conclude from the content of a store that can come back with an older
 * copy of it.
 *
 * <p>Fault pattern: the store loses its last seconds, and its revisions are given out again. The
 * store numbers its histories (eras). A position is a pair of era and revision, so nothing read in
 * one era may be continued in another, and an answer from a former era is of no use. After a
 * restoration, the operators write their configuration again. Until they have, the store confirms a
 * configuration that may lack an acknowledged change, such as the revocation of a key. The history
 * is settled when the operators were seen to write in it, when a gateway has marked it as settled,
 * or when it is older than the time that the operators may need. The plain baseline, a revision
 * without era, misses every change that is written under a revision given out again.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class StoreHistory {
  /** What an answer says about the history of the store. */
  public enum Change {
    /** The answer belongs to the known history, or is the first. */
    NONE,
    /** The store has come back with an older copy: everything has to be read again. */
    RESTORED,
    /** The answer belongs to a former history and must not be used. */
    OUTDATED
  }

  private final long settleNanos;
  private long era;
  private long firstSeenAt;
  private boolean confirmed;

  private StoreHistory(Duration settleTime) {
    settleNanos = settleTime.toNanos();
  }

  /**
   * Returns a history of which nothing has been seen.
   *
   * @param settleTime time after the return of a restored store within which the operators write
   *     their configuration again
   */
  public static StoreHistory create(Duration settleTime) {
    return new StoreHistory(settleTime);
  }

  /**
   * Records the era that an answer names.
   *
   * @param answeredEra positive number of the era
   */
  public Change observe(long answeredEra, long now) {
    if (answeredEra == era) {
      return Change.NONE;
    }
    if (answeredEra < era) {
      return Change.OUTDATED;
    }
    final boolean first = era == 0;
    era = answeredEra;
    firstSeenAt = now;
    confirmed = false;
    return first ? Change.NONE : Change.RESTORED;
  }

  /** Records that an era is settled; ignored if it isn't the current one. */
  public void confirm(long settledEra) {
    confirmed = confirmed || settledEra == era;
  }

  /** Returns the current era; 0 if the store has named none. */
  public long era() {
    return era;
  }

  /** Returns whether the store, at the given time, lacked no acknowledged change for good. */
  public boolean isSettled(long time) {
    return era == 0 || confirmed || time - firstSeenAt >= settleNanos;
  }
}
