package org.oriolewell.core.upstream;

import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.roster.UpstreamInstance;

/**
 * What the upstreams have stated about themselves in their answers to one gateway, by incarnation.
 *
 * <p>An incarnation that has stated to leave is remembered after its entry is gone, since a store
 * that was restored from a copy may list it as ready again. All else is dropped with the entry.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class UpstreamRecords {
  /** Most incarnations without an entry that are remembered; the oldest are dropped. */
  static final int MAX_UNLISTED = 4096;

  private final Map<Incarnation, UpstreamRecord> records = new LinkedHashMap<>();

  /** Incarnations that leave or have paused; a superset of those that may get nothing now. */
  private final Set<Incarnation> restricted = new HashSet<>();

  private UpstreamRecords() {}

  /**
   * What a statement has changed.
   *
   * @param leaving whether the incarnation leaves, which was not known
   * @param paused whether a pause has begun or become longer
   * @param reportProblems whether the statement had odd values that are to be reported
   */
  public record Change(boolean leaving, boolean paused, boolean reportProblems) {
    static final Change NONE = new Change(false, false, false);
  }

  /**
   * A load report with its time.
   *
   * @param statedAt monotonic time of the answer in nanoseconds
   */
  public record StatedLoad(LoadReport report, long statedAt) {}

  /** Returns a table without records. */
  public static UpstreamRecords create() {
    return new UpstreamRecords();
  }

  /**
   * Records what an answer of an upstream states.
   *
   * @param turn share of this gateway in the requests after a pause
   */
  public Change stated(
      UpstreamInstance upstream, UpstreamStatement statement, ResumeTurn turn, long now) {
    if (!statement.isPresent()) {
      return Change.NONE;
    }
    Incarnation incarnation = Incarnation.of(upstream);
    UpstreamRecord record = records.computeIfAbsent(incarnation, i -> new UpstreamRecord());
    boolean left = statement.leaving() && record.leave();
    boolean paused = statement.pause().map(pause -> record.pause(pause, turn, now)).orElse(false);
    statement.load().ifPresent(report -> record.load(report, now));
    if (left || paused) {
      restricted.add(incarnation);
    }
    return new Change(left, paused, !statement.problems().isEmpty() && record.reportProblem(now));
  }

  private @Nullable UpstreamRecord restrictingRecord(UpstreamInstance upstream) {
    if (restricted.isEmpty()) {
      return null;
    }
    Incarnation incarnation = Incarnation.of(upstream);
    return restricted.contains(incarnation) ? records.get(incarnation) : null;
  }

  /** Returns whether no upstream leaves or has paused, so that all may get requests. */
  public boolean unrestricted() {
    return restricted.isEmpty();
  }

  /** Returns whether an upstream has stated that it leaves. */
  public boolean leaving(UpstreamInstance upstream) {
    UpstreamRecord record = restrictingRecord(upstream);
    return record != null && record.leaving();
  }

  /** Returns whether an upstream has asked for a pause that has not ended. */
  public boolean paused(UpstreamInstance upstream, long now) {
    UpstreamRecord record = restrictingRecord(upstream);
    return record != null && record.paused(now);
  }

  /**
   * Returns the time until the end of an upstream's pause or, after it, until this gateway may send
   * its next request; zero if it may send one now.
   */
  public Duration blockedFor(UpstreamInstance upstream, long now) {
    UpstreamRecord record = restrictingRecord(upstream);
    return record == null ? Duration.ZERO : record.blockedFor(now);
  }

  /**
   * Counts a request that is sent to an upstream.
   *
   * @return whether it is the first one after a pause
   */
  public boolean sent(UpstreamInstance upstream) {
    UpstreamRecord record = restrictingRecord(upstream);
    return record != null && record.sent();
  }

  /** Takes back the count of a request that was not written. */
  public void unsent(UpstreamInstance upstream) {
    UpstreamRecord record = restrictingRecord(upstream);
    if (record != null) {
      record.unsent();
    }
  }

  /** Returns the newest load report of an upstream; empty if there is none. */
  public Optional<StatedLoad> load(UpstreamInstance upstream) {
    UpstreamRecord record = records.get(Incarnation.of(upstream));
    return Optional.ofNullable(record == null ? null : record.load());
  }

  /**
   * Drops what no longer counts: ended pauses, and the records of incarnations without an entry
   * that neither leave nor pause. Without a start time the next incarnation can't be told apart, so
   * such a record ends with the entry. Called at regular intervals.
   *
   * @param listed whether an incarnation has an entry
   */
  public void forget(Predicate<Incarnation> listed, long now) {
    int unlisted = 0;
    for (Iterator<Map.Entry<Incarnation, UpstreamRecord>> entries = records.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<Incarnation, UpstreamRecord> entry = entries.next();
      boolean restricting = entry.getValue().restrictsSending(now);
      boolean identified = entry.getKey().startedMillis() != 0;
      if (!restricting) {
        restricted.remove(entry.getKey());
      }
      if (!listed.test(entry.getKey())) {
        if (restricting && identified) {
          unlisted++;
        } else {
          restricted.remove(entry.getKey());
          entries.remove();
        }
      }
    }
    dropOldest(listed, unlisted - MAX_UNLISTED);
  }

  private void dropOldest(Predicate<Incarnation> listed, int excess) {
    int remaining = excess;
    Iterator<Incarnation> oldestFirst = records.keySet().iterator();
    while (remaining > 0 && oldestFirst.hasNext()) {
      Incarnation incarnation = oldestFirst.next();
      if (!listed.test(incarnation)) {
        restricted.remove(incarnation);
        oldestFirst.remove();
        remaining--;
      }
    }
  }

  /**
   * Returns the number of incarnations that have an entry and have stated to leave.
   *
   * @param listed whether an incarnation has an entry
   */
  public int leavingCount(Predicate<Incarnation> listed) {
    return (int)
        records.entrySet().stream()
            .filter(entry -> entry.getValue().leaving() && listed.test(entry.getKey()))
            .count();
  }

  /** Returns the number of incarnations whose pause has not ended. */
  public int pausedCount(long now) {
    return (int) records.values().stream().filter(record -> record.paused(now)).count();
  }

  /** Returns the number of records. */
  int size() {
    return records.size();
  }
}
