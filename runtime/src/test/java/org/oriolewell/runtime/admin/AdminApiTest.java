package org.oriolewell.runtime.admin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.config.ConfigMember;
import org.oriolewell.core.config.language.Subject;
import org.oriolewell.runtime.config.ConfigService;
import org.oriolewell.runtime.config.FaultyStore;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.settings.SettingsException;
import org.oriolewell.runtime.settings.SettingsSpec;

/**
 * Guards against calls without the required right, wrong outcomes, and answers that hide processes
 * that did not answer.
 */
class AdminApiTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CHANGE_TOKEN = "secret-of-elin";
  private static final String READ_TOKEN = "secret-of-rhys";
  private static final String LIMITED_TOKEN = "secret-of-mihai";

  private final FaultyStore store = new FaultyStore();
  private final EventLog log = EventLog.of("test", InstantSource.system());
  private final List<String> logLines = new ArrayList<>();
  private final List<FleetPort.Answer> otherAnswers = new ArrayList<>();
  private final Handler logRecorder = new LogRecorder();
  private final HttpClient client = HttpClient.newHttpClient();
  private ConfigService config;
  private JsonServer server;

  private record Reply(int status, JsonNode body) {}

  private final class LogRecorder extends Handler {
    @Override
    public void publish(LogRecord record) {
      synchronized (logLines) {
        logLines.add(
            record.getMessage()
                + (record.getParameters() == null ? "" : List.of(record.getParameters())));
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  @BeforeEach
  void start() {
    Logger.getLogger("").addHandler(logRecorder);
    config =
        ConfigService.start(
            new ConfigMember("entry", "r"),
            true,
            store,
            new Random(1),
            InstantSource.system(),
            log);
    server =
        JsonServer.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1 << 20, log);
    List<AdminToken> tokens =
        List.of(
            AdminToken.of("elin", true, Set.of(), CHANGE_TOKEN),
            AdminToken.of("rhys", false, Set.of(), READ_TOKEN),
            AdminToken.of("mihai", true, Set.of("w"), LIMITED_TOKEN));
    AdminApi.of(config, this::ask, tokens, InstantSource.system(), log)
        .addRoutes(server)
        .start("operators");
  }

  @AfterEach
  void stop() {
    Logger.getLogger("").removeHandler(logRecorder);
    server.close();
    config.close();
  }

  private CompletableFuture<List<FleetPort.Answer>> ask(byte[] query, Duration timeout) {
    QueryResponder ownResponder =
        QueryResponder.of(
            subject ->
                subject == Subject.VERSIONS
                    ? List.of(Map.of("process", "entry", "version", config.version()))
                    : List.of(
                        Map.of("id", "1", "workspace", "w", "age", 5),
                        Map.of("id", "2", "workspace", "v", "age", 9)));
    List<FleetPort.Answer> answers = new ArrayList<>(otherAnswers);
    answers.add(new FleetPort.Answer("entry", Optional.of(ownResponder.answer(query))));
    return CompletableFuture.completedFuture(answers);
  }

  private Reply call(String method, String path, String token, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + server.address().getPort() + "/v1/admin/" + path))
            .header("Authorization", "Bearer " + token)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    return new Reply(response.statusCode(), JSON.readTree(response.body()));
  }

  private Reply get(String path) throws Exception {
    return call("GET", path, READ_TOKEN, "");
  }

  private Reply query(String token, String text) throws Exception {
    return call("POST", "query", token, JSON.writeValueAsString(Map.of("query", text)));
  }

  private Reply command(String token, String id, long expectedVersion, String... texts)
      throws Exception {
    return call(
        "POST",
        "commands",
        token,
        JSON.writeValueAsString(
            Map.of("command_id", id, "expected_version", expectedVersion, "commands", texts)));
  }

  private void createFirmAndWorkspace() throws Exception {
    Reply reply =
        command(CHANGE_TOKEN, "c1", 0, "create firm f share 1", "create workspace w firm f");
    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.body().path("version").asLong()).isEqualTo(1);
    while (config.version() < 1) {
      Thread.onSpinWait();
    }
  }

  // Guards against access without a token, right or workspace, and against tokens in the log.
  /** Guards against a token that is compared without regard to case on a kept connection. */
  @Test
  void tokenInOtherCaseIsUnknownOnKeptConnection() throws Exception {
    assertThat(call("GET", "config", READ_TOKEN, "").status()).isEqualTo(200);

    assertThat(call("GET", "config", READ_TOKEN.toUpperCase(Locale.ROOT), "").status())
        .isEqualTo(401);
  }

  @Test
  void rightsAreCheckedAndTokensNeverLogged() throws Exception {
    createFirmAndWorkspace();
    assertThat(call("GET", "config", "wrong-secret", "").status()).isEqualTo(401);
    assertThat(command(READ_TOKEN, "c2", 1, "drain host h").status()).isEqualTo(403);
    assertThat(command(LIMITED_TOKEN, "c2", 1, "drain host h").status()).isEqualTo(403);
    assertThat(command(LIMITED_TOKEN, "c2", 1, "set workspace v weight 2").status()).isEqualTo(403);
    assertThat(call("GET", "config", LIMITED_TOKEN, "").status()).isEqualTo(403);
    assertThat(call("GET", "commands/c1", LIMITED_TOKEN, "").status()).isEqualTo(403);
    assertThat(query(LIMITED_TOKEN, "show pools").status()).isEqualTo(403);
    assertThat(command(LIMITED_TOKEN, "c3", 1, "set workspace w weight 2").status()).isEqualTo(200);
    assertThat(query(LIMITED_TOKEN, "show requests order by age desc limit 1").body().path("rows"))
        .singleElement()
        .satisfies(row -> assertThat(row.path("id").asText()).isEqualTo("1"));
    synchronized (logLines) {
      assertThat(String.join("\n", logLines)).contains("mihai").doesNotContain("secret");
    }
  }

  // Guards against an outcome that an operator can't act on, and changes without an audit line.
  @Test
  void outcomesNameVersionWinnerAndRemedy() throws Exception {
    createFirmAndWorkspace();
    Reply conflict = command(CHANGE_TOKEN, "c2", 0, "drain host h");
    assertThat(conflict.status()).isEqualTo(409);
    assertThat(conflict.body().path("outcome").asText()).isEqualTo("rejected");
    assertThat(conflict.body().path("winner").path("command_id").asText()).isEqualTo("c1");
    Reply invalid = command(CHANGE_TOKEN, "c3", 1, "remove firm f");
    assertThat(invalid.status()).isEqualTo(422);
    assertThat(invalid.body().path("problems").get(0).asText()).contains("unknown firm f");
    Reply malformed = command(CHANGE_TOKEN, "c4", 1, "drain h");
    assertThat(malformed.body().path("column").asInt()).isEqualTo(7);
    assertThat(command(CHANGE_TOKEN, "c1", 0, "drain host h").status()).isEqualTo(422);

    store.loseAnswers(1);
    assertThat(command(CHANGE_TOKEN, "c5", 1, "drain host h").body().path("outcome").asText())
        .isEqualTo("accepted");
    assertThat(get("commands/c5").body().path("version").asLong()).isEqualTo(2);
    assertThat(get("commands/nothing").body().path("outcome").asText()).isEqualTo("unknown");
    assertThat(get("audit").body().path("rows").get(0).path("after").asText())
        .contains("\"draining\":true");
    synchronized (logLines) {
      assertThat(logLines)
          .anyMatch(
              line ->
                  line.contains("OW-4020") && line.contains("elin") && line.contains("draining"));
    }
  }

  // Guards against reporting a version in force at processes that did not answer.
  @Test
  void inForceReportsLaggingAndSilentProcesses() throws Exception {
    createFirmAndWorkspace();
    assertThat(get("inforce/1").body().path("in_force").asBoolean()).isTrue();
    byte[] laggingAnswer =
        "{\"rows\":[{\"process\":\"a\",\"version\":0}]}".getBytes(StandardCharsets.UTF_8);
    otherAnswers.add(new FleetPort.Answer("a", Optional.of(laggingAnswer)));
    otherAnswers.add(new FleetPort.Answer("b", Optional.empty()));
    JsonNode body = get("inforce/1").body();
    assertThat(body.path("in_force").asBoolean()).isFalse();
    assertThat(body.path("lagging").get(0).path("process").asText()).isEqualTo("a");
    assertThat(body.path("silent").get(0).asText()).isEqualTo("b");
    assertThat(query(READ_TOKEN, "show requests").body().path("partial").asBoolean()).isTrue();
  }

  // Guards against an explain that changes something, and history that disagrees with versions.
  @Test
  void versionsAreShownComparedAndExported() throws Exception {
    createFirmAndWorkspace();
    command(CHANGE_TOKEN, "c2", 1, "set workspace w weight 3");
    assertThat(query(READ_TOKEN, "explain remove firm f").body().path("problems")).hasSize(1);
    assertThat(query(READ_TOKEN, "explain drain host h").body().path("rows")).hasSize(1);
    assertThat(get("config/history").body().path("rows")).hasSize(2);
    assertThat(query(READ_TOKEN, "diff 1 2").body().path("rows").get(0).path("after").asText())
        .contains("\"weight\":3.0");
    assertThat(get("config/versions/1").body().path("workspaces").path("w").path("weight").asInt())
        .isEqualTo(1);
    assertThat(get("config/versions/9").status()).isEqualTo(404);
    String importCommand =
        JSON.writeValueAsString(
            Map.of(
                "command_id",
                "c3",
                "expected_version",
                2,
                "commands",
                List.of(Map.of("import", get("config/versions/1").body()))));
    assertThat(
            call("POST", "commands", CHANGE_TOKEN, importCommand).body().path("version").asLong())
        .isEqualTo(3);
    assertThat(get("config/versions/3").body().path("workspaces").path("w").path("weight").asInt())
        .isEqualTo(1);
  }

  // Guards against settings with a plain-text token, and against accepting an incomplete token.
  @Test
  void incompleteTokenSettingsAreRefused() throws Exception {
    SettingsSpec spec = SettingsSpec.of("entry", List.of(AdminToken.SETTING));
    String tokenTable =
        "[[admin.tokens]]\noperator = \"elin\"\nrights = \"read\"\nworkspaces = [\"*\"]\n";
    String digest = "token_sha256 = \"" + "0a".repeat(32) + "\"\n";
    assertThat(spec.parse("f", tokenTable + digest).value(AdminToken.SETTING))
        .singleElement()
        .satisfies(token -> assertThat(token.unlimited()).isTrue());
    assertThatThrownBy(() -> spec.parse("f", tokenTable)).isInstanceOf(SettingsException.class);
  }
}
