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

/** Carries out the store calls of one command. */
final class Submission {
  /** Time after which a store that doesn't answer ends the attempt with an unknown outcome. */
  static final Duration PATIENCE = Duration.ofSeconds(5);

  private static final KeyValueStore.Entry ABSENT = new KeyValueStore.Entry(0, new byte[0]);

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
    Instant giveUpAt = clock.instant().plus(PATIENCE);
    Submission submission =
        new Submission(
            ConfigAcceptor.of(command, versionInForce, giveUpAt), store, executor, clock);
    submission.happened(new Event.Started());
    return submission.result;
  }

  private void happened(Event event) {
    try {
      executor.execute(() -> acceptor.on(event, clock.instant()).forEach(this::perform));
    } catch (RejectedExecutionException e) {
      // The process stops; the caller's connection ends without an answer, which means unknown.
    }
  }

  private void perform(Action action) {
    if (action instanceof Action.Read) {
      store
          .get(ConfigService.KEY)
          .whenComplete(
              (entry, failure) -> {
                KeyValueStore.Entry value = entry == null ? ABSENT : entry.orElse(ABSENT);
                happened(
                    failure == null
                        ? new Event.ReadDone(value.revision(), value.value())
                        : new Event.ReadFailed());
              });
    } else if (action instanceof Action.Write a) {
      store
          .compareAndSet(ConfigService.KEY, a.expectedRevision(), a.value())
          .whenComplete(
              (revision, failure) ->
                  happened(
                      failure == null && revision != null
                          ? new Event.WriteDone(revision.isPresent())
                          : new Event.WriteFailed()));
    } else if (action instanceof Action.Pause a) {
      executor.schedule(
          () -> happened(new Event.PauseOver()), a.duration().toMillis(), TimeUnit.MILLISECONDS);
    } else if (action instanceof Action.Finish a) {
      result.complete(a.result());
    }
  }
}
