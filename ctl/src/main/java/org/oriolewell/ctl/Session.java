package org.oriolewell.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.language.LanguageException;
import org.oriolewell.core.config.language.Statement;
import org.oriolewell.core.config.language.StatementParser;
import org.oriolewell.runtime.log.EventLog;

/** Runs statements one after the other through the admin API of one entry. */
final class Session {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Time between two checks of a version, and between two sends of a command. */
  private static final long POLL_INTERVAL_MILLIS = 200;

  private final AdminClient adminClient;
  private final OutputFormat format;
  private final Duration statementTimeout;
  private final PrintStream out;
  private final InstantSource clock;
  private final EventLog log;

  /** Configuration version that the next command builds on; negative if not known yet. */
  private long expectedVersion;

  /** Command id for the next command; null for a random one. */
  private @Nullable String nextCommandId;

  /**
   * Creates a session; a negative {@code options.expectedVersion} stands for the entry's current
   * version.
   */
  Session(
      AdminClient adminClient,
      CtlOptions options,
      PrintStream out,
      InstantSource clock,
      EventLog log) {
    this.adminClient = adminClient;
    this.format = options.format;
    this.statementTimeout = Duration.ofSeconds(options.timeoutSeconds);
    this.expectedVersion = options.expectedVersion;
    this.nextCommandId = options.commandId;
    this.out = out;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Runs one statement and prints its answer.
   *
   * @throws CtlException if the statement is invalid, fails or has only a partial answer
   */
  void run(String statementText) throws CtlException, InterruptedException {
    Statement statement = parseStatement(statementText);
    try {
      if (statement instanceof Statement.Change) {
        submitChange(JSON.getNodeFactory().textNode(statementText));
      } else if (statement instanceof Statement.Import importStatement) {
        submitChange(JSON.createObjectNode().set("import", readJsonFile(importStatement.file())));
      } else if (statement instanceof Statement.WaitFor waitStatement) {
        waitUntilInForce(waitStatement.version());
      } else if (statement instanceof Statement.Export) {
        out.println(requireOk(adminClient.call("GET", "config", null)).toPrettyString());
      } else {
        runQuery(statementText);
      }
    } catch (IOException e) {
      throw new CtlException(CtlExitCode.FAILED, String.valueOf(e.getMessage()));
    }
  }

  /** Parses a statement; the error message points at the column of a syntax error. */
  private static Statement parseStatement(String statementText) throws CtlException {
    try {
      return StatementParser.parse(statementText);
    } catch (LanguageException e) {
      String pointer = " ".repeat(e.column() - 1) + "^";
      throw new CtlException(
          CtlExitCode.USAGE, statementText + "\n" + pointer + "\n" + e.getMessage());
    }
  }

  private static JsonNode readJsonFile(String fileName) throws CtlException {
    try {
      return JSON.readTree(Files.readAllBytes(Path.of(fileName)));
    } catch (IOException | RuntimeException e) {
      throw new CtlException(
          CtlExitCode.SETTINGS,
          fileName + " can't be read as JSON; give a file written by 'export' (" + e + ").");
    }
  }

  /** Runs a query, prints its rows and fails if the answer has problems or is partial. */
  private void runQuery(String statementText)
      throws IOException, InterruptedException, CtlException {
    ObjectNode body = JSON.createObjectNode().put("query", statementText);
    JsonNode answer = requireOk(adminClient.call("POST", "query", body));
    printAnswer(answer, answer.path("rows"));
    if (!answer.path("problems").isEmpty()) {
      throw new CtlException(CtlExitCode.REJECTED, joinLines(answer.path("problems")));
    }
    if (answer.path("partial").asBoolean()) {
      throw new CtlException(
          CtlExitCode.INCOMPLETE,
          "The answer is partial; these processes did not answer completely: "
              + answer.path("silent"));
    }
  }

  private void printAnswer(JsonNode answer, JsonNode rows) {
    out.print(
        switch (format) {
          case json -> answer.toPrettyString() + "\n";
          case csv -> RowWriter.formatCsv(rows);
          case table -> RowWriter.formatTable(rows);
        });
  }

  /** Returns the body of an answer with status 200; other statuses end the program. */
  private static JsonNode requireOk(AdminClient.Answer answer) throws CtlException {
    if (answer.ok()) {
      return answer.body();
    }
    int exitCode =
        switch (answer.status()) {
          case 401, 403 -> CtlExitCode.SETTINGS;
          case 400, 404 -> CtlExitCode.USAGE;
          default -> CtlExitCode.FAILED;
        };
    throw new CtlException(exitCode, answer.errorDetail());
  }

  /** Sends one configuration command and prints its outcome. */
  private void submitChange(JsonNode command)
      throws IOException, InterruptedException, CtlException {
    String commandId = nextCommandId == null ? UUID.randomUUID().toString() : nextCommandId;
    nextCommandId = null;
    if (expectedVersion < 0) {
      ObjectNode versionQuery = JSON.createObjectNode().put("query", "show workspaces limit 1");
      expectedVersion =
          requireOk(adminClient.call("POST", "query", versionQuery)).path("version").asLong();
    }
    ObjectNode body = JSON.createObjectNode().put("command_id", commandId);
    body.put("expected_version", expectedVersion).putArray("commands").add(command);
    AdminClient.Answer answer = sendUntilSettled(body, commandId);
    String outcome = answer.body().path("outcome").asText();
    if (answer.ok()) {
      expectedVersion = answer.body().path("version").asLong();
      printAnswer(answer.body(), JSON.createArrayNode().add(answer.body()));
      return;
    }
    if (outcome.equals("rejected")) {
      String problems = joinLines(answer.body().path("problems"));
      throw new CtlException(
          CtlExitCode.REJECTED,
          "rejected: " + (problems.isEmpty() ? answer.errorDetail() : problems));
    }
    if (outcome.equals("unknown")) {
      throw new CtlException(
          CtlExitCode.OUTCOME_UNKNOWN, unknownOutcomeMessage(commandId, answer.errorDetail()));
    }
    requireOk(answer);
  }

  private String unknownOutcomeMessage(String commandId, String errorDetail) {
    return "unknown: "
        + errorDetail
        + "\nTo settle it, repeat the statement with --command-id "
        + commandId
        + " --expect "
        + expectedVersion
        + ".";
  }

  /**
   * Sends a command repeatedly until the entry reports its outcome or the timeout expires. The
   * command takes effect at most once, because each repetition carries the same command id.
   */
  private AdminClient.Answer sendUntilSettled(ObjectNode body, String commandId)
      throws InterruptedException, CtlException {
    Instant deadline = clock.instant().plus(statementTimeout);
    while (true) {
      String errorDetail;
      try {
        AdminClient.Answer answer = adminClient.call("POST", "commands", body);
        boolean isFinal = answer.status() < 500 || !clock.instant().isBefore(deadline);
        if (isFinal && !answer.body().path("outcome").isMissingNode()) {
          return answer;
        } else if (answer.status() < 500) {
          return answer;
        }
        errorDetail = answer.errorDetail();
      } catch (IOException e) {
        errorDetail = String.valueOf(e.getMessage());
      }
      if (!clock.instant().isBefore(deadline)) {
        throw new CtlException(
            CtlExitCode.OUTCOME_UNKNOWN, unknownOutcomeMessage(commandId, errorDetail));
      }
      log.event(CtlEvent.COMMAND_REPEATED).with("command_id", commandId).write();
      sleepPollInterval();
    }
  }

  /**
   * Polls the entry until a configuration version is in force everywhere or the timeout expires.
   */
  private void waitUntilInForce(long version)
      throws IOException, InterruptedException, CtlException {
    Instant deadline = clock.instant().plus(statementTimeout);
    JsonNode answer = requireOk(adminClient.call("GET", "inforce/" + version, null));
    while (!answer.path("in_force").asBoolean() && clock.instant().isBefore(deadline)) {
      sleepPollInterval();
      answer = requireOk(adminClient.call("GET", "inforce/" + version, null));
    }
    printAnswer(answer, JSON.createArrayNode().add(answer));
    if (!answer.path("in_force").asBoolean()) {
      throw new CtlException(
          CtlExitCode.INCOMPLETE, "Version " + version + " is not in force everywhere yet.");
    }
  }

  private static void sleepPollInterval() throws InterruptedException {
    Thread.sleep(POLL_INTERVAL_MILLIS);
  }

  private static String joinLines(JsonNode problems) {
    StringBuilder joinedLines = new StringBuilder();
    problems.forEach(
        problem -> joinedLines.append(joinedLines.isEmpty() ? "" : "\n").append(problem.asText()));
    return joinedLines.toString();
  }
}
