package org.oriolewell.core.config;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The accepting side: brings one command into the store by compare-and-swap.
 *
 * <p>The result is truthful whatever the store does. A write without an answer is settled by
 * reading: the command id is in the document if the write took effect. If it isn't there and the
 * revision is unchanged, the write may still be on its way, so the same write is tried again at the
 * same revision, of which at most one takes effect. Once the revision has moved on without the
 * command id, the write can't take effect any more.
 */
public final class ConfigAcceptor {
  /** Pause before the store is tried again. */
  static final Duration PAUSE = Duration.ofMillis(100);

  /** Outcome of a command. */
  public enum Outcome {
    /** The store holds the change. */
    ACCEPTED,
    /** The change is not in the store and will never be. */
    REJECTED,
    /** It isn't known whether the store holds the change, or will. */
    UNKNOWN
  }

  /** Why a command was rejected or its outcome isn't known. */
  public enum Reason {
    /** It was accepted. */
    NONE,
    /** The document isn't at the expected version any more, or not yet. */
    VERSION_CONFLICT,
    /** The command id was used for another command. */
    ID_REUSED,
    /** The change doesn't fit the document, or the result isn't valid. */
    INVALID,
    /** The store didn't answer. */
    STORE_UNAVAILABLE,
    /** The stored document is corrupt, of another schema, or behind the one in force. */
    STORE_UNUSABLE
  }

  /**
   * Result of a command.
   *
   * @param version version that the change made if accepted, else the store's version as far as
   *     known
   * @param detail what happened and what to do; empty if accepted
   * @param problems every problem of an invalid change
   * @param winner change that made the next version instead; null if there is none
   * @param document accepted document; null if not accepted
   */
  public record Result(
      Outcome outcome,
      Reason reason,
      long version,
      String detail,
      List<String> problems,
      @Nullable ChangeRecord winner,
      @Nullable ConfigDocument document) {}

  /** Something that happened. */
  public sealed interface Event {
    /** The command was received. */
    record Started() implements Event {}

    /** The store answered a read; a revision of 0 means that the key is absent. */
    record ReadDone(long revision, byte[] value) implements Event {}

    /** The store didn't answer a read. */
    record ReadFailed() implements Event {}

    /** The store answered a write: whether it took effect. */
    record WriteDone(boolean written) implements Event {}

    /** The store didn't answer a write. */
    record WriteFailed() implements Event {}

    /** The pause is over. */
    record PauseOver() implements Event {}
  }

  /** What the caller must do next; it then reports the matching event. */
  public sealed interface Action {
    /** Read the document's key. */
    record Read() implements Action {}

    /** Write the document's key at a revision; 0 means absent. */
    record Write(long expectedRevision, byte[] value) implements Action {}

    /** Wait. */
    record Pause(Duration duration) implements Action {}

    /** Give the operator the result. */
    record Finish(Result result) implements Action {}
  }

  private final ConfigEditor.Command command;
  private final long versionInForce;
  private final Instant giveUpAt;
  private @Nullable ConfigDocument proposed;
  private boolean writeUnsettled;

  private ConfigAcceptor(ConfigEditor.Command command, long versionInForce, Instant giveUpAt) {
    this.command = command;
    this.versionInForce = versionInForce;
    this.giveUpAt = giveUpAt;
  }

  /**
   * Returns the state machine of one command.
   *
   * @param versionInForce version in force in this process; a lower one in the store isn't built on
   * @param giveUpAt time after which a store that doesn't answer ends the attempt
   */
  public static ConfigAcceptor of(
      ConfigEditor.Command command, long versionInForce, Instant giveUpAt) {
    return new ConfigAcceptor(command, versionInForce, giveUpAt);
  }

  /** Returns what is to be done after an event. */
  public List<Action> on(Event event, Instant now) {
    return List.of(next(event, now));
  }

  private Action next(Event event, Instant now) {
    if (event instanceof Event.ReadDone e) {
      return read(e, now);
    } else if (event instanceof Event.WriteDone e) {
      return written(e, now);
    } else if (event instanceof Event.WriteFailed) {
      writeUnsettled = true;
      return again(now);
    } else if (event instanceof Event.ReadFailed) {
      return again(now);
    }
    return new Action.Read();
  }

  private Action written(Event.WriteDone event, Instant now) {
    ConfigDocument document = proposed;
    if (event.written() && document != null) {
      return new Action.Finish(
          new Result(
              Outcome.ACCEPTED, Reason.NONE, document.version(), "", List.of(), null, document));
    }
    // The revision moved: by another command, or by an earlier write of this one.
    return now.isBefore(giveUpAt) ? new Action.Read() : giveUp();
  }

  private Action again(Instant now) {
    return now.isBefore(giveUpAt) ? new Action.Pause(PAUSE) : giveUp();
  }

  /** An earlier attempt at another entry may have written, so no failed attempt says rejected. */
  private Action giveUp() {
    String attempt =
        writeUnsettled
            ? "The store did not answer the write; "
            : "The store did not answer and this attempt wrote nothing; ";
    return unknown(
        Reason.STORE_UNAVAILABLE,
        versionInForce,
        attempt
            + "send the same command with the same command id and expected version again, which has"
            + " one effect at most.");
  }

  private Action read(Event.ReadDone event, Instant now) {
    ConfigDocument stored;
    try {
      stored = event.revision() == 0 ? ConfigDocument.empty() : ConfigJson.readAny(event.value());
    } catch (IOException | RuntimeException e) {
      return unknown(
          Reason.STORE_UNUSABLE,
          versionInForce,
          "The stored document can't be read and was left as it is: " + e.getMessage());
    }
    Optional<Result> settled = settle(command, stored);
    if (settled.isPresent()) {
      return new Action.Finish(settled.get());
    }
    if (stored.version() < versionInForce) {
      return unknown(
          Reason.STORE_UNUSABLE,
          stored.version(),
          "The store holds version "
              + stored.version()
              + ", but version "
              + versionInForce
              + " is in force; restore the stored document from an export.");
    }
    if (stored.version() != command.expectedVersion()) {
      // A later attempt with the same id may still take effect, so this isn't a rejection.
      return unknown(
          Reason.VERSION_CONFLICT,
          stored.version(),
          "The expected version isn't made yet; the store holds version "
              + stored.version()
              + ". This attempt wrote nothing.");
    }
    return propose(event.revision(), stored, now);
  }

  private static Result found(ChangeRecord own, String text, ConfigDocument stored) {
    if (!own.command().equals(text)) {
      return result(
          Outcome.REJECTED,
          Reason.ID_REUSED,
          own.version(),
          "The command id made version "
              + own.version()
              + " with another command; use a new id for each command.",
          null);
    }
    return new Result(Outcome.ACCEPTED, Reason.NONE, own.version(), "", List.of(), null, stored);
  }

  /**
   * Settles a command from a document alone, or returns empty if only the store can tell. It is
   * correct with any document that the store has held, also with an old one.
   */
  public static Optional<Result> settle(ConfigEditor.Command command, ConfigDocument document) {
    Optional<ChangeRecord> own = ChangeLog.find(document, command.commandId());
    if (own.isPresent()) {
      return Optional.of(found(own.get(), command.text(), document));
    }
    return overtaken(command.expectedVersion(), document);
  }

  /** Returns the result of a command whose expected version is below the document's. */
  private static Optional<Result> overtaken(long expectedVersion, ConfigDocument document) {
    long next = expectedVersion + 1;
    if (document.version() < next) {
      return Optional.empty();
    }
    Optional<ChangeRecord> winner = ChangeLog.find(document, next);
    if (winner.isEmpty()) {
      return Optional.of(
          result(
              Outcome.UNKNOWN,
              Reason.VERSION_CONFLICT,
              document.version(),
              "The kept changes don't reach back to version "
                  + next
                  + ", so it isn't known whether this command made it; compare the configuration.",
              null));
    }
    ChangeRecord by = winner.get();
    String detail =
        "Version "
            + next
            + " was made by "
            + by.operator()
            + " with command "
            + by.commandId()
            + " ("
            + by.command()
            + "); read version "
            + document.version()
            + " and send a new command.";
    return Optional.of(
        result(Outcome.REJECTED, Reason.VERSION_CONFLICT, document.version(), detail, by));
  }

  private static Result result(
      Outcome outcome, Reason reason, long version, String detail, @Nullable ChangeRecord winner) {
    return new Result(outcome, reason, version, detail, List.of(), winner, null);
  }

  private Action propose(long revision, ConfigDocument stored, Instant now) {
    if (!now.isBefore(giveUpAt)) {
      return giveUp();
    }
    try {
      ConfigDocument next = ConfigEditor.next(stored, command, now);
      proposed = next;
      return new Action.Write(revision, ConfigJson.writeCompressed(next));
    } catch (RejectedChangeException e) {
      return new Action.Finish(
          new Result(
              Outcome.REJECTED,
              Reason.INVALID,
              stored.version(),
              String.valueOf(e.getMessage()),
              e.problems(),
              null,
              null));
    }
  }

  private static Action unknown(Reason reason, long version, String detail) {
    return new Action.Finish(result(Outcome.UNKNOWN, reason, version, detail, null));
  }
}
