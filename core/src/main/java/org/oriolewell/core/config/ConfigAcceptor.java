package org.oriolewell.core.config;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * State machine that writes the changes of one command into the store by compare-and-swap. Its
 * caller performs the returned actions and reports their results as events.
 *
 * <p>The result is correct even if the store loses or delays answers. A write without an answer is
 * settled by reading the document, which holds the command id if the write took effect. If the id
 * isn't there and the revision is unchanged, the write may still arrive, so the same write is tried
 * again at the same revision; at most one of them takes effect. Once the revision has changed
 * without the command id, the write can no longer take effect.
 */
public final class ConfigAcceptor {
  /** Pause between a store call that failed and the next one. */
  static final Duration RETRY_PAUSE = Duration.ofMillis(100);

  /** Outcome of a command. */
  public enum Outcome {
    /** The store holds the change. */
    ACCEPTED,
    /** The change is not in the store and never will be. */
    REJECTED,
    /** It isn't known whether the store holds the change, or will. */
    UNKNOWN
  }

  /** Reason why a command was rejected or why its outcome isn't known. */
  public enum Reason {
    /** The command was accepted. */
    NONE,
    /** The stored document's version is above or below the expected version. */
    VERSION_CONFLICT,
    /** The command id was already used for a command with another text. */
    ID_REUSED,
    /** The change can't be applied to the document, or the resulting document isn't valid. */
    INVALID,
    /** The store didn't answer. */
    STORE_UNAVAILABLE,
    /** The stored document is corrupt, of another schema, or behind the one in force. */
    STORE_UNUSABLE
  }

  /**
   * Result of a command.
   *
   * @param outcome whether the change is in the store
   * @param reason why the command wasn't accepted
   * @param version version that the command created if accepted, else the latest known version of
   *     the stored document
   * @param detail what happened and what the operator can do; empty if accepted
   * @param problems all problems of an invalid change, one sentence each
   * @param winner change that created the expected next version instead; null if none is known
   * @param document document that contains the change; null if not accepted
   */
  public record Result(
      Outcome outcome,
      Reason reason,
      long version,
      String detail,
      List<String> problems,
      @Nullable ChangeRecord winner,
      @Nullable ConfigDocument document) {}

  /** Input of the state machine: the start, or the result of an action. */
  public sealed interface Event {
    /** The command was received. */
    record Started() implements Event {}

    /** The store answered a read; a revision of 0 means that the key is absent. */
    record ReadDone(long revision, byte[] value) implements Event {}

    /** The store didn't answer a read. */
    record ReadFailed() implements Event {}

    /** The store answered a write and said whether it took effect. */
    record WriteDone(boolean written) implements Event {}

    /** The store didn't answer a write. */
    record WriteFailed() implements Event {}

    /** The requested pause has elapsed. */
    record PauseOver() implements Event {}
  }

  /** What the caller must do next, after which it reports the matching event. */
  public sealed interface Action {
    /** Read the document from the store. */
    record Read() implements Action {}

    /** Write the document if its key is still at a revision; 0 means that it is absent. */
    record Write(long expectedRevision, byte[] value) implements Action {}

    /** Wait for a time before the next event. */
    record Pause(Duration duration) implements Action {}

    /** Return the result of the command to the operator. */
    record Finish(Result result) implements Action {}
  }

  private final ConfigEditor.Command command;
  private final long versionInForce;
  private final Instant giveUpAt;
  private @Nullable ConfigDocument proposedDocument;
  private boolean writeUnanswered;

  private ConfigAcceptor(ConfigEditor.Command command, long versionInForce, Instant giveUpAt) {
    this.command = command;
    this.versionInForce = versionInForce;
    this.giveUpAt = giveUpAt;
  }

  /**
   * Returns the state machine of one command.
   *
   * @param versionInForce version in force in this process; a stored document with a lower version
   *     isn't changed
   * @param giveUpAt time after which the store isn't tried again
   */
  public static ConfigAcceptor of(
      ConfigEditor.Command command, long versionInForce, Instant giveUpAt) {
    return new ConfigAcceptor(command, versionInForce, giveUpAt);
  }

  /** Handles an event and returns the actions that the caller must perform. */
  public List<Action> on(Event event, Instant now) {
    return List.of(handle(event, now));
  }

  private Action handle(Event event, Instant now) {
    if (event instanceof Event.ReadDone e) {
      return handleRead(e, now);
    } else if (event instanceof Event.WriteDone e) {
      return handleWritten(e, now);
    } else if (event instanceof Event.WriteFailed) {
      writeUnanswered = true;
      return retry(now);
    } else if (event instanceof Event.ReadFailed) {
      return retry(now);
    }
    return new Action.Read();
  }

  private Action handleWritten(Event.WriteDone event, Instant now) {
    ConfigDocument document = proposedDocument;
    if (event.written() && document != null) {
      return new Action.Finish(
          new Result(
              Outcome.ACCEPTED, Reason.NONE, document.version(), "", List.of(), null, document));
    }
    // The revision has changed, by another command or by an earlier write of this one.
    return now.isBefore(giveUpAt) ? new Action.Read() : giveUp();
  }

  private Action retry(Instant now) {
    return now.isBefore(giveUpAt) ? new Action.Pause(RETRY_PAUSE) : giveUp();
  }

  /** Ends with an unknown outcome, since an earlier attempt at another entry may have written. */
  private Action giveUp() {
    String writeState =
        writeUnanswered
            ? "The store did not answer the write; "
            : "The store did not answer and this attempt wrote nothing; ";
    return unknownOutcome(
        Reason.STORE_UNAVAILABLE,
        versionInForce,
        writeState
            + "send the same command with the same command id and expected version again, which has"
            + " one effect at most.");
  }

  private Action handleRead(Event.ReadDone event, Instant now) {
    ConfigDocument stored;
    try {
      stored =
          event.revision() == 0
              ? ConfigDocument.empty()
              : ConfigJson.readPlainOrCompressed(event.value());
    } catch (IOException | RuntimeException e) {
      return unknownOutcome(
          Reason.STORE_UNUSABLE,
          versionInForce,
          "The stored document can't be read and was left as it is: " + e.getMessage());
    }
    Optional<Result> settledResult = settle(command, stored);
    if (settledResult.isPresent()) {
      return new Action.Finish(settledResult.get());
    }
    if (stored.version() < versionInForce) {
      return unknownOutcome(
          Reason.STORE_UNUSABLE,
          stored.version(),
          "The store holds version "
              + stored.version()
              + ", but version "
              + versionInForce
              + " is in force; restore the stored document from an export.");
    }
    if (stored.version() != command.expectedVersion()) {
      // Another attempt with the same command id may still take effect, so this isn't a rejection.
      return unknownOutcome(
          Reason.VERSION_CONFLICT,
          stored.version(),
          "The expected version isn't made yet; the store holds version "
              + stored.version()
              + ". This attempt wrote nothing.");
    }
    return propose(event.revision(), stored, now);
  }

  private static Result resultOfRecorded(
      ChangeRecord recorded, String commandText, ConfigDocument stored) {
    if (!recorded.command().equals(commandText)) {
      return result(
          Outcome.REJECTED,
          Reason.ID_REUSED,
          recorded.version(),
          "The command id made version "
              + recorded.version()
              + " with another command; use a new id for each command.",
          null);
    }
    return new Result(
        Outcome.ACCEPTED, Reason.NONE, recorded.version(), "", List.of(), null, stored);
  }

  /**
   * Returns the result of a command if it follows from a document alone, or empty if the store must
   * be read. The result is correct with any document that the store has held, also an old one.
   */
  public static Optional<Result> settle(ConfigEditor.Command command, ConfigDocument document) {
    Optional<ChangeRecord> recorded = ChangeLog.find(document, command.commandId());
    if (recorded.isPresent()) {
      return Optional.of(resultOfRecorded(recorded.get(), command.text(), document));
    }
    return resultIfOvertaken(command.expectedVersion(), document);
  }

  /** Returns the result of a command whose expected version is below the document's version. */
  private static Optional<Result> resultIfOvertaken(long expectedVersion, ConfigDocument document) {
    long nextVersion = expectedVersion + 1;
    if (document.version() < nextVersion) {
      return Optional.empty();
    }
    Optional<ChangeRecord> winner = ChangeLog.find(document, nextVersion);
    if (winner.isEmpty()) {
      return Optional.of(
          result(
              Outcome.UNKNOWN,
              Reason.VERSION_CONFLICT,
              document.version(),
              "The kept changes don't reach back to version "
                  + nextVersion
                  + ", so it isn't known whether this command made it; compare the configuration.",
              null));
    }
    ChangeRecord winningChange = winner.get();
    String detail =
        "Version "
            + nextVersion
            + " was made by "
            + winningChange.operator()
            + " with command "
            + winningChange.commandId()
            + " ("
            + winningChange.command()
            + "); read version "
            + document.version()
            + " and send a new command.";
    return Optional.of(
        result(
            Outcome.REJECTED, Reason.VERSION_CONFLICT, document.version(), detail, winningChange));
  }

  private static Result result(
      Outcome outcome, Reason reason, long version, String detail, @Nullable ChangeRecord winner) {
    return new Result(outcome, reason, version, detail, List.of(), winner, null);
  }

  private Action propose(long storedRevision, ConfigDocument stored, Instant now) {
    if (!now.isBefore(giveUpAt)) {
      return giveUp();
    }
    try {
      ConfigDocument changed = ConfigEditor.next(stored, command, now);
      proposedDocument = changed;
      return new Action.Write(storedRevision, ConfigJson.writeCompressed(changed));
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

  private static Action unknownOutcome(Reason reason, long version, String detail) {
    return new Action.Finish(result(Outcome.UNKNOWN, reason, version, detail, null));
  }
}
