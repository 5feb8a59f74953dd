package org.oriolewell.runtime.config;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.oriolewell.core.config.ConfigAcceptor;
import org.oriolewell.core.config.ConfigAcceptor.Action;
import org.oriolewell.core.config.ConfigAcceptor.Event;
import org.oriolewell.core.config.ConfigAcceptor.Result;
import org.oriolewell.core.config.ConfigEditor;
import org.oriolewell.runtime.platform.KeyValueStore;

/** Performs the store calls of one command as {@link ConfigAcceptor} requests them. */
final class Submission {
  /** Time after which a command ends with an unknown outcome if the store doesn't answer. */
  static final Duration GIVE_UP_AFTER = Duration.ofSeconds(5);

  private static final KeyValueStore.Entry ABSENT_ENTRY = new KeyValueStore.Entry(0, new byte[0]);

  private final ConfigAcceptor acceptor;
  private final KeyValueStore store;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final CompletableFuture<Result> result = new CompletableFuture<>();

  private Submission(
      ConfigAcceptor acceptor,
      KeyValueStore store,
      ScheduledExecutorService executor,
      InstantSource clock) {
    this.acceptor = acceptor;
    this.store = store;
    this.executor = executor;
    this.clock = clock;
  }

  static CompletableFuture<Result> start(
      ConfigEditor.Command command,
      long versionInForce,
      KeyValueStore store,
      ScheduledExecutorService executor,
      InstantSource clock) {
    Instant giveUpAt = clock.instant().plus(GIVE_UP_AFTER);
    Submission submission =
        new Submission(
            ConfigAcceptor.of(command, versionInForce, giveUpAt), store, executor, clock);
    submission.handle(new Event.Started());
    return submission.result;
  }

  private void handle(Event event) {
    try {
      executor.execute(() -> acceptor.on(event, clock.instant()).forEach(this::perform));
    } catch (RejectedExecutionException e) {
      // The process is stopping; the operator gets no answer, so the outcome is unknown there.
    }
  }

  private void perform(Action action) {
    if (action instanceof Action.Read) {
      store
          .get(ConfigService.DOCUMENT_KEY)
          .whenComplete(
              (entry, failure) -> {
                KeyValueStore.Entry storedEntry =
                    entry == null ? ABSENT_ENTRY : entry.orElse(ABSENT_ENTRY);
                handle(
                    failure == null
                        ? new Event.ReadDone(storedEntry.revision(), storedEntry.value())
                        : new Event.ReadFailed());
              });
    } else if (action instanceof Action.Write a) {
      store
          .compareAndSet(ConfigService.DOCUMENT_KEY, a.expectedRevision(), a.value())
          .whenComplete(
              (revision, failure) ->
                  handle(
                      failure == null && revision != null
                          ? new Event.WriteDone(revision.isPresent())
                          : new Event.WriteFailed()));
    } else if (action instanceof Action.Pause a) {
      executor.schedule(
          () -> handle(new Event.PauseOver()), a.duration().toMillis(), TimeUnit.MILLISECONDS);
    } else if (action instanceof Action.Finish a) {
      result.complete(a.result());
    }
  }
}
