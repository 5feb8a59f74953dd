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

/** Runs statements one after the other against one entry. */
final class Session {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long POLL_MILLIS = 200;

  private final AdminClient client;
  private final OutputFormat format;
  private final Duration timeout;
  private final PrintStream out;
  private final InstantSource clock;
  private final EventLog log;
  private long expected;
  private @Nullable String nextCommandId;

  /** Makes a session; an expected version below 0 means the entry's current one. */
  Session(
      AdminClient client, CtlOptions options, PrintStream out, InstantSource clock, EventLog log) {
    this.client = client;
    this.format = options.format;
    this.timeout = Duration.ofSeconds(options.timeoutSeconds);
    this.expected = options.expect;
    this.nextCommandId = options.commandId;
    this.out = out;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Runs one statement and prints its answer.
   *
   * @throws CtlException if it's wrong or wasn't done as a whole
   */
  void run(String text) throws CtlException, InterruptedException {
    Statement statement = parse(text);
    try {
      if (statement instanceof Statement.Change) {
        change(JSON.getNodeFactory().textNode(text));
      } else if (statement instanceof Statement.Import imported) {
        change(JSON.createObjectNode().set("import", file(imported.file())));
      } else if (statement instanceof Statement.WaitFor wait) {
        waitFor(wait.version());
      } else if (statement instanceof Statement.Export) {
        out.println(checked(client.call("GET", "config", null)).toPrettyString());
      } else {
        query(text);
      }
    } catch (IOException e) {
      throw new CtlException(CtlExitCode.FAILED, String.valueOf(e.getMessage()));
    }
  }

  private static Statement parse(String text) throws CtlException {
    try {
      return StatementParser.parse(text);
    } catch (LanguageException e) {
      String pointer = " ".repeat(e.column() - 1) + "^";
      throw new CtlException(CtlExitCode.USAGE, text + "\n" + pointer + "\n" + e.getMessage());
    }
  }

  private static JsonNode file(String name) throws CtlException {
    try {
      return JSON.readTree(Files.readAllBytes(Path.of(name)));
    } catch (IOException | RuntimeException e) {
      throw new CtlException(
          CtlExitCode.SETTINGS, name + " can't be read as JSON; name an export (" + e + ").");
    }
  }

  private void query(String text) throws IOException, InterruptedException, CtlException {
    ObjectNode body = JSON.createObjectNode().put("query", text);
    JsonNode answer = checked(client.call("POST", "query", body));
    print(answer, answer.path("rows"));
    if (!answer.path("problems").isEmpty()) {
      throw new CtlException(CtlExitCode.REJECTED, lines(answer.path("problems")));
    }
    if (answer.path("partial").asBoolean()) {
      throw new CtlException(
          CtlExitCode.INCOMPLETE,
          "The answer is partial; these processes did not answer whole: " + answer.path("silent"));
    }
  }

  private void print(JsonNode answer, JsonNode rows) {
    out.print(
        switch (format) {
          case json -> answer.toPrettyString() + "\n";
          case csv -> RowWriter.csv(rows);
          case table -> RowWriter.table(rows);
        });
  }

  private static JsonNode checked(AdminClient.Answer answer) throws CtlException {
    if (answer.ok()) {
      return answer.body();
    }
    int code =
        switch (answer.status()) {
          case 401, 403 -> CtlExitCode.SETTINGS;
          case 400, 404 -> CtlExitCode.USAGE;
          default -> CtlExitCode.FAILED;
        };
    throw new CtlException(code, answer.detail());
  }

  private void change(JsonNode command) throws IOException, InterruptedException, CtlException {
    String id = nextCommandId == null ? UUID.randomUUID().toString() : nextCommandId;
    nextCommandId = null;
    if (expected < 0) {
      ObjectNode question = JSON.createObjectNode().put("query", "show workspaces limit 1");
      expected = checked(client.call("POST", "query", question)).path("version").asLong();
    }
    ObjectNode body = JSON.createObjectNode().put("command_id", id);
    body.put("expected_version", expected).putArray("commands").add(command);
    AdminClient.Answer answer = settled(body, id);
    String outcome = answer.body().path("outcome").asText();
    if (answer.ok()) {
      expected = answer.body().path("version").asLong();
      print(answer.body(), JSON.createArrayNode().add(answer.body()));
      return;
    }
    if (outcome.equals("rejected")) {
      String problems = lines(answer.body().path("problems"));
      throw new CtlException(
          CtlExitCode.REJECTED, "rejected: " + (problems.isEmpty() ? answer.detail() : problems));
    }
    if (outcome.equals("unknown")) {
      throw new CtlException(CtlExitCode.UNKNOWN, unknown(id, answer.detail()));
    }
    checked(answer);
  }

  private String unknown(String id, String detail) {
    return "unknown: "
        + detail
        + "\nTo settle it, repeat the statement with --command-id "
        + id
        + " --expect "
        + expected
        + ".";
  }

  /** Sends a command until its outcome is known or the time is over; it has one effect at most. */
  private AdminClient.Answer settled(ObjectNode body, String id)
      throws InterruptedException, CtlException {
    Instant end = clock.instant().plus(timeout);
    while (true) {
      String detail;
      try {
        AdminClient.Answer answer = client.call("POST", "commands", body);
        boolean known = answer.status() < 500 || !clock.instant().isBefore(end);
        if (known && !answer.body().path("outcome").isMissingNode()) {
          return answer;
        } else if (answer.status() < 500) {
          return answer;
        }
        detail = answer.detail();
      } catch (IOException e) {
        detail = String.valueOf(e.getMessage());
      }
      if (!clock.instant().isBefore(end)) {
        throw new CtlException(CtlExitCode.UNKNOWN, unknown(id, detail));
      }
      log.event(CtlEvent.COMMAND_REPEATED).with("command_id", id).write();
      pause();
    }
  }

  private void waitFor(long version) throws IOException, InterruptedException, CtlException {
    Instant end = clock.instant().plus(timeout);
    JsonNode answer = checked(client.call("GET", "inforce/" + version, null));
    while (!answer.path("in_force").asBoolean() && clock.instant().isBefore(end)) {
      pause();
      answer = checked(client.call("GET", "inforce/" + version, null));
    }
    print(answer, JSON.createArrayNode().add(answer));
    if (!answer.path("in_force").asBoolean()) {
      throw new CtlException(
          CtlExitCode.INCOMPLETE, "Version " + version + " is not in force everywhere yet.");
    }
  }

  private static void pause() throws InterruptedException {
    Thread.sleep(POLL_MILLIS);
  }

  private static String lines(JsonNode problems) {
    StringBuilder text = new StringBuilder();
    problems.forEach(problem -> text.append(text.isEmpty() ? "" : "\n").append(problem.asText()));
    return text.toString();
  }
}
