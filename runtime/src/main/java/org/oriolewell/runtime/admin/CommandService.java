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

/** Takes operators' commands, writes the audit and answers with their outcome. */
final class CommandService {
  private static final int MAX_COMMANDS = 100;
  private static final int MAX_ID_LENGTH = 128;

  /** Longest text of objects in an audit line; the document keeps the whole text. */
  private static final int MAX_AUDIT_CHARS = 4_000;

  private final ConfigService config;
  private final EventLog log;

  CommandService(ConfigService config, EventLog log) {
    this.config = config;
    this.log = log;
  }

  CompletableFuture<HttpReply> submit(JsonNode body, AdminToken token) {
    if (!token.change()) {
      throw QueryService.forbidden();
    }
    ConfigEditor.Command command = command(body, token);
    command.changes().forEach(change -> requireRight(token, change));
    return config
        .submit(command)
        .thenApply(
            result -> {
              audit(command, result);
              return reply(command.commandId(), result);
            });
  }

  private static ConfigEditor.Command command(JsonNode body, AdminToken token) {
    String id = body.path("command_id").asText();
    if (id.isBlank() || id.length() > MAX_ID_LENGTH || id.contains("/")) {
      throw invalid("command_id must be a text of 1 to 128 characters without '/'.");
    }
    if (!body.path("expected_version").isIntegralNumber()) {
      throw invalid("expected_version must be the version that the change builds on.");
    }
    JsonNode commands = body.path("commands");
    if (!commands.isArray() || commands.isEmpty() || commands.size() > MAX_COMMANDS) {
      throw invalid("commands must be a list of 1 to 100 commands.");
    }
    List<ConfigChange> changes = new ArrayList<>();
    List<String> texts = new ArrayList<>();
    for (JsonNode command : commands) {
      if (command.has("import")) {
        ConfigDocument imported = imported(command.get("import"));
        changes.add(new ConfigChange.Replace(imported));
        texts.add("import " + ConfigDelta.digest(imported));
      } else {
        changes.add(change(texts.size(), command.asText()));
        texts.add(command.asText());
      }
    }
    return new ConfigEditor.Command(
        id,
        token.operator(),
        body.get("expected_version").asLong(),
        String.join("; ", texts),
        changes);
  }

  private static ProblemException invalid(String detail) {
    return new ProblemException(400, "invalid-request", detail, Map.of("outcome", "rejected"));
  }

  private static ConfigChange change(int index, String text) {
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

  private static ConfigDocument imported(JsonNode document) {
    try {
      return ConfigJson.read(ConfigJson.mapper().writeValueAsBytes(document));
    } catch (IOException | RuntimeException e) {
      throw invalid("The imported document can't be read: " + e.getMessage());
    }
  }

  /** A limited token may only set the weight and priority of its own workspaces. */
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
        .with("command", cut(command.text()))
        .with("expected_version", command.expectedVersion())
        .with("version", result.version())
        .with("from", change.map(c -> cut(c.before())).orElse(null))
        .with("to", change.map(c -> cut(c.after())).orElse(null))
        .with("detail", result.detail().isEmpty() ? null : cut(result.detail()))
        .write();
  }

  private static String cut(String text) {
    return text.length() > MAX_AUDIT_CHARS ? text.substring(0, MAX_AUDIT_CHARS) + "..." : text;
  }

  private static HttpReply reply(String id, Result result) {
    if (result.outcome() == Outcome.ACCEPTED) {
      return HttpReply.json(
          200, Map.of("outcome", "accepted", "version", result.version(), "command_id", id));
    }
    Map<String, Object> members = new LinkedHashMap<>();
    members.put("outcome", result.outcome().name().toLowerCase(Locale.ROOT));
    members.put("version", result.version());
    members.put("command_id", id);
    members.put("problems", result.problems());
    ChangeRecord winner = result.winner();
    if (winner != null) {
      members.put(
          "winner",
          Map.of(
              "version", winner.version(),
              "command_id", winner.commandId(),
              "operator", winner.operator(),
              "command", winner.command()));
    }
    if (result.outcome() == Outcome.UNKNOWN) {
      members.put("settle", "/v1/admin/commands/" + id);
    }
    return new ProblemException(status(result), kind(result.reason()), result.detail(), members)
        .reply();
  }

  private static int status(Result result) {
    return switch (result.reason()) {
      case VERSION_CONFLICT -> 409;
      case ID_REUSED, INVALID -> 422;
      default -> 503;
    };
  }

  private static String kind(Reason reason) {
    return switch (reason) {
      case VERSION_CONFLICT -> "version-conflict";
      case ID_REUSED -> "command-id-reused";
      case INVALID -> "invalid-change";
      case STORE_UNUSABLE -> "store-unusable";
      default -> "store-unavailable";
    };
  }

  /** Settles a command of unknown outcome; a limited token sees only its operator's commands. */
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
              requireOwn(token, change);
              return change.map(CommandService::accepted).orElseThrow(() -> notFound(id));
            });
  }

  private static void requireOwn(AdminToken token, Optional<ChangeRecord> change) {
    boolean own = change.map(c -> c.operator().equals(token.operator())).orElse(true);
    if (!token.unlimited() && !own) {
      throw QueryService.forbidden();
    }
  }

  private static HttpReply accepted(ChangeRecord change) {
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
