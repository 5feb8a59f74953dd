package org.oriolewell.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oriolewell.core.roster.WatchSchedule;
import org.oriolewell.gateway.ControlFeed.Batch;
import org.oriolewell.gateway.ControlFeed.FeedException;
import org.oriolewell.gateway.ControlFeed.FeedException.Reason;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Reads a {@link ControlFeed}: everything first, then the changes. The next call is made whatever
 * happens while a batch is applied. Used on the event loop only.
 */
final class FeedReader {
  /**
   * Longest time that the store holds a call for changes open. Each answer confirms that the copy
   * is fresh. A failed call takes 1 s more and is followed by short ones, so that one failed call,
   * and almost a second one, fits into the usual key revocation limit of 5 s.
   */
  private static final Duration POLL_WAIT = Duration.ofMillis(2000);

  /** The same time for a call after a failed one, which has to confirm the copy soon. */
  static final Duration POLL_WAIT_AFTER_FAILURE = Duration.ofMillis(100);

  /**
   * Pause after an answer with changes, so that further ones are read in one batch: calls to the
   * store cost money, and many upstreams and gateways change at once. Changes must be applied
   * within 2.5 s.
   */
  static final Duration CHANGE_BATCH_DELAY = Duration.ofMillis(200);

  /** Pause after a first failed call; doubles with each further one, to protect the store. */
  private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(100);

  /** Longest pause between failed calls; a recovered store is noticed within a second. */
  static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

  /**
   * Calls for changes in a row without a usable answer after which everything is read again: the
   * changes after the same revision may never be decodable.
   */
  private static final int MAX_UNUSABLE_POLLS = 3;

  /** Time for a call that gets no answer within 1 s of its wait, and for a short call after it. */
  private static final Duration FAILED_POLL_RESERVE = Duration.ofMillis(1300);

  private static final WatchSchedule POLL_SCHEDULE =
      new WatchSchedule(POLL_WAIT, POLL_WAIT_AFTER_FAILURE, FAILED_POLL_RESERVE);

  /** Receives what was read. */
  interface Receiver {
    /** Returns the time within which the next answer has to confirm the copy. */
    Duration confirmationTime();

    /** Called with the current values of everything. */
    void onSnapshot(Batch batch, long sentAt);

    /**
     * Called with changes.
     *
     * @param sentAt time at which the changes were asked for
     * @param maxWait time that the store could wait for changes
     */
    void onChanges(Batch batch, long sentAt, Duration maxWait);

    /** Called before a batch that was read. */
    void onAnswered();

    /** Called when a call has failed. */
    void onFailed(Throwable failure);
  }

  private final EventLoop loop;
  private final ControlFeed feed;
  private final Receiver receiver;
  private final FailureGuard guard;
  private final EventLog log;
  private Duration retryDelay = FIRST_RETRY_DELAY;

  /** Calls for changes since the last decoded one that were answered but brought no changes. */
  private int unusablePolls;

  /** Raised when reading starts again, so that answers to earlier calls are ignored. */
  private int reading;

  /** Store revision that was read last; 0 before the first snapshot. */
  private long revision;

  FeedReader(EventLoop loop, ControlFeed feed, Receiver receiver, EventLog log) {
    this.loop = loop;
    this.feed = feed;
    this.receiver = receiver;
    this.log = log;
    guard = new FailureGuard(log);
  }

  /** Reads everything and then the changes; answers to earlier calls are ignored. */
  void restart() {
    reading++;
    readSnapshot();
  }

  /** Returns the store revision that was read last; 0 before the first snapshot. */
  long revision() {
    return revision;
  }

  /** Returns a number that changes with each {@link #restart}. */
  int reading() {
    return reading;
  }

  /** Runs a task after a pause, unless reading starts again meanwhile. */
  void afterPause(Duration pause, Runnable task) {
    int currentReading = reading;
    loop.after(
        pause,
        () -> {
          if (currentReading == reading) {
            task.run();
          }
        });
  }

  private void readSnapshot() {
    long sentAt = loop.now();
    call(
        feed::snapshot,
        batch -> {
          revision = batch.revision();
          if (unusablePolls == 0) {
            retryDelay = FIRST_RETRY_DELAY;
          }
          applySnapshot(batch, sentAt);
        },
        failure -> {
          guard.run("failed call", () -> receiver.onFailed(failure));
          afterPause(nextRetryDelay(), this::readSnapshot);
        });
  }

  private void applySnapshot(Batch batch, long sentAt) {
    try {
      guard.run("answer", receiver::onAnswered);
      guard.run("snapshot", () -> receiver.onSnapshot(batch, sentAt));
    } finally {
      pollChanges();
    }
  }

  private void pollChanges() {
    pollChanges(POLL_SCHEDULE.nextWait(receiver.confirmationTime()));
  }

  private void pollChanges(Duration maxWait) {
    long sentAt = loop.now();
    long afterRevision = revision;
    call(
        () -> feed.changes(afterRevision, maxWait),
        batch -> {
          unusablePolls = 0;
          retryDelay = FIRST_RETRY_DELAY;
          applyChanges(batch, sentAt, maxWait);
        },
        this::onPollFailed);
  }

  private void applyChanges(Batch batch, long sentAt, Duration maxWait) {
    try {
      guard.run("answer", receiver::onAnswered);
      guard.run("changes", () -> receiver.onChanges(batch, sentAt, maxWait));
    } finally {
      revision = batch.revision();
      if (batch.updates().isEmpty()) {
        pollChanges();
      } else {
        afterPause(CHANGE_BATCH_DELAY, this::pollChanges);
      }
    }
  }

  private void onPollFailed(Throwable failure) {
    Reason reason = FeedException.reasonOf(failure);
    if (reason == Reason.HISTORY_LOST) {
      log.event(GatewayEvent.HISTORY_LOST).with("revision", revision).write();
      afterPause(unusablePolls++ == 0 ? Duration.ZERO : nextRetryDelay(), this::readSnapshot);
      return;
    }
    guard.run("failed call", () -> receiver.onFailed(failure));
    unusablePolls += reason == Reason.UNDECODABLE ? 1 : 0;
    if (reason != Reason.UNDECODABLE || unusablePolls < MAX_UNUSABLE_POLLS) {
      afterPause(nextRetryDelay(), () -> pollChanges(POLL_WAIT_AFTER_FAILURE));
    } else {
      log.event(GatewayEvent.CHANGES_UNDECODABLE)
          .with("revision", revision)
          .with("answers", unusablePolls)
          .cause(failure)
          .write();
      afterPause(nextRetryDelay(), this::readSnapshot);
    }
  }

  /** Calls the feed; one of the two receivers is called unless reading starts again meanwhile. */
  private void call(
      Supplier<CompletableFuture<Batch>> feedCall,
      Consumer<Batch> onBatch,
      Consumer<Throwable> onFailure) {
    int currentReading = reading;
    FailureGuard.start(feedCall)
        .whenComplete(
            (batch, failure) ->
                loop.execute(
                    () -> {
                      if (currentReading != reading) {
                        return;
                      }
                      if (failure == null) {
                        onBatch.accept(batch);
                      } else {
                        onFailure.accept(failure);
                      }
                    }));
  }

  private Duration nextRetryDelay() {
    Duration delay = retryDelay;
    Duration doubledDelay = retryDelay.multipliedBy(2);
    retryDelay = doubledDelay.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : doubledDelay;
    return delay;
  }
}
