package org.oriolewell.runtime.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.core.config.ChangeLog;
import org.oriolewell.core.config.ChangeRecord;
import org.oriolewell.core.config.ConfigAcceptor.Outcome;
import org.oriolewell.core.config.ConfigAcceptor.Reason;
import org.oriolewell.core.config.ConfigAcceptor.Result;
import org.oriolewell.core.config.ConfigChange;
import org.oriolewell.core.config.ConfigDelta;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigEditor;
import org.oriolewell.core.config.ConfigJson;
import org.oriolewell.core.config.language.LanguageException;
import org.oriolewell.core.config.language.Statement;
import org.oriolewell.core.config.language.StatementParser;
import org.oriolewell.runtime.config.ConfigService;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.log.EventLog;

/** Submits the commands of operators, writes the audit log and replies with the outcome. */
final class CommandService {
  private static final int MAX_COMMANDS_PER_CALL = 100;
  private static final int MAX_COMMAND_ID_LENGTH = 128;

  /** Longest text in a field of an audit line, in characters; the change log has the whole text. */
  private static final int MAX_AUDIT_FIELD_CHARS = 4_000;

  private final ConfigService config;
  private final EventLog log;

  CommandService(ConfigService config, EventLog log) {
    this.config = config;
    this.log = log;
  }

  CompletableFuture<HttpReply> submit(JsonNode body, AdminToken token) {
    if (!token.changeAllowed()) {
      throw QueryService.forbidden();
    }
    ConfigEditor.Command command = parseCommand(body, token);
    command.changes().forEach(change -> requireRight(token, change));
    return config
        .submit(command)
        .thenApply(
            result -> {
              audit(command, result);
              return reply(command.commandId(), result);
            });
  }

  private static ConfigEditor.Command parseCommand(JsonNode body, AdminToken token) {
    String id = body.path("command_id").asText();
    if (id.isBlank() || id.length() > MAX_COMMAND_ID_LENGTH || id.contains("/")) {
      throw invalid("command_id must be a text of 1 to 128 characters without '/'.");
    }
    if (!body.path("expected_version").isIntegralNumber()) {
      throw invalid("expected_version must be the version that the change builds on.");
    }
    JsonNode commands = body.path("commands");
    if (!commands.isArray() || commands.isEmpty() || commands.size() > MAX_COMMANDS_PER_CALL) {
      throw invalid("commands must be a list of 1 to 100 commands.");
    }
    List<ConfigChange> changes = new ArrayList<>();
    List<String> commandTexts = new ArrayList<>();
    for (JsonNode command : commands) {
      if (command.has("import")) {
        ConfigDocument imported = parseImport(command.get("import"));
        changes.add(new ConfigChange.Replace(imported));
        commandTexts.add("import " + ConfigDelta.digest(imported));
      } else {
        changes.add(parseChange(commandTexts.size(), command.asText()));
        commandTexts.add(command.asText());
      }
    }
    return new ConfigEditor.Command(
        id,
        token.operator(),
        body.get("expected_version").asLong(),
        String.join("; ", commandTexts),
        changes);
  }

  private static ProblemException invalid(String detail) {
    return new ProblemException(400, "invalid-request", detail, Map.of("outcome", "rejected"));
  }

  private static ConfigChange parseChange(int index, String text) {
    try {
      if (StatementParser.parse(text) instanceof Statement.Change change) {
        return change.change();
      }
      throw invalid("command " + (index + 1) + " changes nothing; send it to /v1/admin/query.");
    } catch (LanguageException e) {
      throw new ProblemException(
          400,
          "invalid-request",
          "command " + (index + 1) + ", " + e.getMessage(),
          Map.of("outcome", "rejected", "command", index, "column", e.column()));
    }
  }

  private static ConfigDocument parseImport(JsonNode document) {
    try {
      return ConfigJson.read(ConfigJson.mapper().writeValueAsBytes(document));
    } catch (IOException | RuntimeException e) {
      throw invalid("The imported document can't be read: " + e.getMessage());
    }
  }

  /** Allows a token that is limited to workspaces to set only their weight and priority. */
  private static void requireRight(AdminToken token, ConfigChange change) {
    boolean ownWorkspace =
        change instanceof ConfigChange.SetWorkspace c
            && c.firm() == null
            && token.workspaces().contains(c.name());
    if (!token.unlimited() && !ownWorkspace) {
      throw QueryService.forbidden();
    }
  }

  private void audit(ConfigEditor.Command command, Result result) {
    AdminEvent event =
        switch (result.outcome()) {
          case ACCEPTED -> AdminEvent.CHANGE_ACCEPTED;
          case REJECTED -> AdminEvent.CHANGE_REJECTED;
          case UNKNOWN -> AdminEvent.CHANGE_UNKNOWN;
        };
    Optional<ChangeRecord> change =
        Optional.ofNullable(result.document())
            .flatMap(document -> ChangeLog.find(document, command.commandId()));
    log.event(event)
        .with("operator", command.operator())
        .with("command_id", command.commandId())
        .with("command", truncate(command.text()))
        .with("expected_version", command.expectedVersion())
        .with("version", result.version())
        .with("from", change.map(c -> truncate(c.before())).orElse(null))
        .with("to", change.map(c -> truncate(c.after())).orElse(null))
        .with("detail", result.detail().isEmpty() ? null : truncate(result.detail()))
        .write();
  }

  private static String truncate(String text) {
    return text.length() > MAX_AUDIT_FIELD_CHARS
        ? text.substring(0, MAX_AUDIT_FIELD_CHARS) + "..."
        : text;
  }

  private static HttpReply reply(String commandId, Result result) {
    if (result.outcome() == Outcome.ACCEPTED) {
      return HttpReply.json(
          200, Map.of("outcome", "accepted", "version", result.version(), "command_id", commandId));
    }
    Map<String, Object> problemMembers = new LinkedHashMap<>();
    problemMembers.put("outcome", result.outcome().name().toLowerCase(Locale.ROOT));
    problemMembers.put("version", result.version());
    problemMembers.put("command_id", commandId);
    problemMembers.put("problems", result.problems());
    ChangeRecord winner = result.winner();
    if (winner != null) {
      problemMembers.put(
          "winner",
          Map.of(
              "version", winner.version(),
              "command_id", winner.commandId(),
              "operator", winner.operator(),
              "command", winner.command()));
    }
    if (result.outcome() == Outcome.UNKNOWN) {
      problemMembers.put("settle", "/v1/admin/commands/" + commandId);
    }
    return new ProblemException(
            status(result), problemKind(result.reason()), result.detail(), problemMembers)
        .reply();
  }

  private static int status(Result result) {
    return switch (result.reason()) {
      case VERSION_CONFLICT -> 409;
      case ID_REUSED, INVALID -> 422;
      default -> 503;
    };
  }

  private static String problemKind(Reason reason) {
    return switch (reason) {
      case VERSION_CONFLICT -> "version-conflict";
      case ID_REUSED -> "command-id-reused";
      case INVALID -> "invalid-change";
      case STORE_UNUSABLE -> "store-unusable";
      default -> "store-unavailable";
    };
  }

  /** Replies with the outcome of a command; a limited token sees only its operator's commands. */
  CompletableFuture<HttpReply> settle(String id, AdminToken token) {
    return config
        .find(id)
        .handle(
            (change, failure) -> {
              if (failure != null || change == null) {
                throw new ProblemException(
                    503,
                    "store-unavailable",
                    "The store can't be read, so the outcome is not known; ask again.",
                    Map.of("outcome", "unknown", "command_id", id));
              }
              requireOwnCommand(token, change);
              return change.map(CommandService::acceptedReply).orElseThrow(() -> notFound(id));
            });
  }

  private static void requireOwnCommand(AdminToken token, Optional<ChangeRecord> change) {
    boolean isOwnCommand = change.map(c -> c.operator().equals(token.operator())).orElse(true);
    if (!token.unlimited() && !isOwnCommand) {
      throw QueryService.forbidden();
    }
  }

  private static HttpReply acceptedReply(ChangeRecord change) {
    return HttpReply.json(
        200,
        Map.of(
            "outcome", "accepted",
            "version", change.version(),
            "command_id", change.commandId(),
            "operator", change.operator(),
            "command", change.command()));
  }

  private ProblemException notFound(String id) {
    return new ProblemException(
        404,
        "unknown-command",
        "No kept change has this command id. A delayed write may still take effect; send the same"
            + " command with the same id and expected version again to settle it.",
        Map.of("outcome", "unknown", "command_id", id, "version", config.version()));
  }
}
