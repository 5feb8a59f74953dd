package org.oriolewell.runtime.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.core.config.ChangeRecord;
import org.oriolewell.core.config.ConfigChange;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigEditor;
import org.oriolewell.core.config.ConfigHistory;
import org.oriolewell.core.config.RejectedChangeException;
import org.oriolewell.core.config.language.ConfigRows;
import org.oriolewell.core.config.language.LanguageException;
import org.oriolewell.core.config.language.Rows;
import org.oriolewell.core.config.language.Statement;
import org.oriolewell.core.config.language.StatementParser;
import org.oriolewell.core.config.language.Subject;
import org.oriolewell.runtime.config.ConfigService;

/** Answers the queries of operators from the configuration or from the connected processes. */
final class QueryService {
  /** Longest time to wait for the answers of the connected processes. */
  static final Duration FLEET_QUERY_TIMEOUT = Duration.ofSeconds(2);

  private final ConfigService config;
  private final FleetPort fleet;
  private final InstantSource clock;

  QueryService(ConfigService config, FleetPort fleet, InstantSource clock) {
    this.config = config;
    this.fleet = fleet;
    this.clock = clock;
  }

  CompletableFuture<Map<String, Object>> answer(String text, AdminToken token) {
    Statement statement;
    try {
      statement = StatementParser.parse(text);
    } catch (LanguageException e) {
      throw new ProblemException(
          400, "invalid-request", String.valueOf(e.getMessage()), Map.of("column", e.column()));
    }
    if (statement instanceof Statement.Show show) {
      return show(text, show, token);
    }
    if (!token.unlimited()) {
      throw forbidden();
    }
    if (statement instanceof Statement.History) {
      return completed(config.current(), historyRows(config.current(), false), List.of());
    } else if (statement instanceof Statement.Diff diff) {
      return completed(
          config.current(),
          differenceRows(documentAt(diff.fromVersion()), documentAt(diff.toVersion())),
          List.of());
    } else if (statement instanceof Statement.Explain explain) {
      return explain(text, explain.change());
    }
    throw new ProblemException(
        400,
        "invalid-request",
        "column 1: expected show, history, diff or explain; send commands to /v1/admin/commands");
  }

  static ProblemException forbidden() {
    return new ProblemException(
        403, "forbidden", "The token lacks the right for this; use a token with wider rights.");
  }

  /** Returns the document at a version; throws a problem if it is no longer available. */
  ConfigDocument documentAt(long version) {
    return ConfigHistory.at(config.current(), version)
        .orElseThrow(
            () ->
                new ProblemException(
                    404,
                    "unknown-version",
                    "Version "
                        + version
                        + " can't be shown; the entry has version "
                        + config.version()
                        + " and the changes listed by history."));
  }

  private CompletableFuture<Map<String, Object>> show(
      String text, Statement.Show show, AdminToken token) {
    Subject subject = show.subject();
    ConfigDocument document = config.current();
    String workspaceField = subject == Subject.WORKSPACES ? "name" : "workspace";
    if (!token.unlimited() && subject != Subject.WORKSPACES && subject != Subject.REQUESTS) {
      throw forbidden();
    }
    if (!subject.fromProcesses()) {
      List<Map<String, Object>> rows =
          visibleRows(token, workspaceField, ConfigRows.of(document, subject));
      return completed(document, Rows.answer(show, rows), List.of());
    }
    // For a token limited to workspaces, grouping and limits are applied after other workspaces'
    // rows are removed; otherwise those rows would affect the answer.
    String fleetQuery = token.unlimited() ? text : "show " + subject.word();
    return fleet
        .ask(QueryResponder.encodeQuery(fleetQuery), FLEET_QUERY_TIMEOUT)
        .thenApply(answers -> mergeAnswers(show, token, answers));
  }

  private static List<Map<String, Object>> visibleRows(
      AdminToken token, String field, List<Map<String, Object>> rows) {
    return token.unlimited()
        ? rows
        : rows.stream()
            .filter(row -> token.workspaces().contains(String.valueOf(row.get(field))))
            .toList();
  }

  private Map<String, Object> mergeAnswers(
      Statement.Show show, AdminToken token, List<FleetPort.Answer> answers) {
    List<Map<String, Object>> rows = new ArrayList<>();
    Set<String> silentProcesses = new TreeSet<>();
    for (FleetPort.Answer answer : answers) {
      Optional<QueryResponder.Contribution> contribution = contribution(answer);
      contribution.ifPresent(
          rowsOfProcess -> rows.addAll(visibleRows(token, "workspace", rowsOfProcess.rows())));
      if (contribution.isEmpty() || !contribution.get().complete()) {
        silentProcesses.add(answer.process());
      }
    }
    return responseBody(config.current(), Rows.answer(show, rows), List.copyOf(silentProcesses));
  }

  private static Optional<QueryResponder.Contribution> contribution(FleetPort.Answer answer) {
    if (answer.answer().isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(QueryResponder.decodeAnswer(answer.answer().get()));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Reports which connected processes have a configuration version in force. */
  CompletableFuture<Map<String, Object>> inForce(long version) {
    return fleet
        .ask(QueryResponder.encodeQuery("show versions"), FLEET_QUERY_TIMEOUT)
        .thenApply(answers -> inForce(version, answers));
  }

  private static Map<String, Object> inForce(long version, List<FleetPort.Answer> answers) {
    List<Map<String, Object>> laggingProcesses = new ArrayList<>();
    Set<String> silentProcesses = new TreeSet<>();
    int upToDateProcesses = 0;
    for (FleetPort.Answer answer : answers) {
      Optional<QueryResponder.Contribution> contribution = contribution(answer);
      if (contribution.isEmpty() || contribution.get().rows().isEmpty()) {
        silentProcesses.add(answer.process());
        continue;
      }
      Object versionInForce = contribution.get().rows().get(0).getOrDefault("version", 0);
      if (versionInForce instanceof Number number && number.longValue() >= version) {
        upToDateProcesses++;
      } else {
        laggingProcesses.add(Map.of("process", answer.process(), "version", versionInForce));
      }
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("version", version);
    body.put("in_force", laggingProcesses.isEmpty() && silentProcesses.isEmpty());
    body.put("asked", answers.size());
    body.put("have_it", upToDateProcesses);
    body.put("lagging", laggingProcesses);
    body.put("partial", !silentProcesses.isEmpty());
    body.put("silent", silentProcesses);
    return body;
  }

  private CompletableFuture<Map<String, Object>> explain(String text, ConfigChange change) {
    ConfigDocument document = config.current();
    ConfigEditor.Command command =
        new ConfigEditor.Command("explain", "explain", document.version(), text, List.of(change));
    try {
      ConfigDocument next = ConfigEditor.next(document, command, clock.instant());
      return completed(document, differenceRows(document, next), List.of());
    } catch (RejectedChangeException e) {
      Map<String, Object> body = responseBody(document, List.of(), List.of());
      body.put("problems", e.problems());
      return CompletableFuture.completedFuture(body);
    }
  }

  private static List<Map<String, Object>> differenceRows(ConfigDocument from, ConfigDocument to) {
    JsonNode difference = ConfigHistory.difference(from, to);
    List<Map<String, Object>> rows = new ArrayList<>();
    for (Map.Entry<String, JsonNode> kind : difference.get("after").properties()) {
      for (Map.Entry<String, JsonNode> object : kind.getValue().properties()) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("kind", kind.getKey());
        row.put("name", object.getKey());
        JsonNode before = difference.get("before").path(kind.getKey()).path(object.getKey());
        row.put("before", before.toString());
        row.put("after", object.getValue().toString());
        rows.add(row);
      }
    }
    return rows;
  }

  /** Returns the changes in the change log as rows, newest first. */
  static List<Map<String, Object>> historyRows(ConfigDocument document, boolean withObjects) {
    List<Map<String, Object>> rows = new ArrayList<>();
    for (ChangeRecord change : document.changes()) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("version", change.version());
      row.put("time", Instant.ofEpochMilli(change.epochMillis()).toString());
      row.put("operator", change.operator());
      row.put("command_id", change.commandId());
      row.put("command", change.command());
      if (withObjects) {
        row.put("before", change.before());
        row.put("after", change.after());
      }
      rows.add(0, row);
    }
    return rows;
  }

  private static CompletableFuture<Map<String, Object>> completed(
      ConfigDocument document, List<Map<String, Object>> rows, List<String> silentProcesses) {
    return CompletableFuture.completedFuture(responseBody(document, rows, silentProcesses));
  }

  private static Map<String, Object> responseBody(
      ConfigDocument document, List<Map<String, Object>> rows, List<String> silentProcesses) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("version", document.version());
    body.put("rows", rows);
    body.put("partial", !silentProcesses.isEmpty());
    body.put("silent", silentProcesses);
    return body;
  }
}
