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
 * Guards against calls without the right, false outcomes and answers that hide silent processes.
 */
class AdminApiTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CHANGER = "secret-of-elin";
  private static final String READER = "secret-of-rhys";
  private static final String LIMITED = "secret-of-mihai";

  private final FaultyStore store = new FaultyStore();
  private final EventLog log = EventLog.of("test", InstantSource.system());
  private final List<String> lines = new ArrayList<>();
  private final List<FleetPort.Answer> others = new ArrayList<>();
  private final Handler recorder = new Recorder();
  private final HttpClient client = HttpClient.newHttpClient();
  private ConfigService config;
  private JsonServer server;

  private record Reply(int status, JsonNode body) {}

  private final class Recorder extends Handler {
    @Override
    public void publish(LogRecord record) {
      synchronized (lines) {
        lines.add(
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
    Logger.getLogger("").addHandler(recorder);
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
            AdminToken.of("elin", true, Set.of(), CHANGER),
            AdminToken.of("rhys", false, Set.of(), READER),
            AdminToken.of("mihai", true, Set.of("w"), LIMITED));
    AdminApi.of(config, this::ask, tokens, InstantSource.system(), log)
        .addRoutes(server)
        .start("operators");
  }

  @AfterEach
  void stop() {
    Logger.getLogger("").removeHandler(recorder);
    server.close();
    config.close();
  }

  private CompletableFuture<List<FleetPort.Answer>> ask(byte[] question, Duration limit) {
    QueryResponder own =
        QueryResponder.of(
            subject ->
                subject == Subject.VERSIONS
                    ? List.of(Map.of("process", "entry", "version", config.version()))
                    : List.of(
                        Map.of("id", "1", "workspace", "w", "age", 5),
                        Map.of("id", "2", "workspace", "v", "age", 9)));
    List<FleetPort.Answer> answers = new ArrayList<>(others);
    answers.add(new FleetPort.Answer("entry", Optional.of(own.answer(question))));
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
    return call("GET", path, READER, "");
  }

  private Reply query(String token, String text) throws Exception {
    return call("POST", "query", token, JSON.writeValueAsString(Map.of("query", text)));
  }

  private Reply command(String token, String id, long expected, String... texts) throws Exception {
    return call(
        "POST",
        "commands",
        token,
        JSON.writeValueAsString(
            Map.of("command_id", id, "expected_version", expected, "commands", texts)));
  }

  private void createWorkspace() throws Exception {
    Reply reply = command(CHANGER, "c1", 0, "create firm f share 1", "create workspace w firm f");
    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.body().path("version").asLong()).isEqualTo(1);
    while (config.version() < 1) {
      Thread.onSpinWait();
    }
  }

  // Guards against access without a token, a right or the workspace, and tokens in the log.
  @Test
  void rightsAreCheckedAndTokensNeverLogged() throws Exception {
    createWorkspace();
    assertThat(call("GET", "config", "wrong-secret", "").status()).isEqualTo(401);
    assertThat(command(READER, "c2", 1, "drain host h").status()).isEqualTo(403);
    assertThat(command(LIMITED, "c2", 1, "drain host h").status()).isEqualTo(403);
    assertThat(command(LIMITED, "c2", 1, "set workspace v weight 2").status()).isEqualTo(403);
    assertThat(call("GET", "config", LIMITED, "").status()).isEqualTo(403);
    assertThat(call("GET", "commands/c1", LIMITED, "").status()).isEqualTo(403);
    assertThat(query(LIMITED, "show pools").status()).isEqualTo(403);
    assertThat(command(LIMITED, "c3", 1, "set workspace w weight 2").status()).isEqualTo(200);
    assertThat(query(LIMITED, "show requests order by age desc limit 1").body().path("rows"))
        .singleElement()
        .satisfies(row -> assertThat(row.path("id").asText()).isEqualTo("1"));
    synchronized (lines) {
      assertThat(String.join("\n", lines)).contains("mihai").doesNotContain("secret");
    }
  }

  // Guards against an outcome that an operator can't act on, and changes without an audit line.
  @Test
  void outcomesNameVersionWinnerAndRemedy() throws Exception {
    createWorkspace();
    Reply loser = command(CHANGER, "c2", 0, "drain host h");
    assertThat(loser.status()).isEqualTo(409);
    assertThat(loser.body().path("outcome").asText()).isEqualTo("rejected");
    assertThat(loser.body().path("winner").path("command_id").asText()).isEqualTo("c1");
    Reply invalid = command(CHANGER, "c3", 1, "remove firm f");
    assertThat(invalid.status()).isEqualTo(422);
    assertThat(invalid.body().path("problems").get(0).asText()).contains("unknown firm f");
    Reply wrong = command(CHANGER, "c4", 1, "drain h");
    assertThat(wrong.body().path("column").asInt()).isEqualTo(7);
    assertThat(command(CHANGER, "c1", 0, "drain host h").status()).isEqualTo(422);

    store.loseAnswers(1);
    assertThat(command(CHANGER, "c5", 1, "drain host h").body().path("outcome").asText())
        .isEqualTo("accepted");
    assertThat(get("commands/c5").body().path("version").asLong()).isEqualTo(2);
    assertThat(get("commands/nothing").body().path("outcome").asText()).isEqualTo("unknown");
    assertThat(get("audit").body().path("rows").get(0).path("after").asText())
        .contains("\"draining\":true");
    synchronized (lines) {
      assertThat(lines)
          .anyMatch(
              line ->
                  line.contains("OW-4020") && line.contains("elin") && line.contains("draining"));
    }
  }

  // Guards against a claim about processes that did not answer.
  @Test
  void inForceReportsLaggingAndSilentProcesses() throws Exception {
    createWorkspace();
    assertThat(get("inforce/1").body().path("in_force").asBoolean()).isTrue();
    byte[] old = "{\"rows\":[{\"process\":\"a\",\"version\":0}]}".getBytes(StandardCharsets.UTF_8);
    others.add(new FleetPort.Answer("a", Optional.of(old)));
    others.add(new FleetPort.Answer("b", Optional.empty()));
    JsonNode body = get("inforce/1").body();
    assertThat(body.path("in_force").asBoolean()).isFalse();
    assertThat(body.path("lagging").get(0).path("process").asText()).isEqualTo("a");
    assertThat(body.path("silent").get(0).asText()).isEqualTo("b");
    assertThat(query(READER, "show requests").body().path("partial").asBoolean()).isTrue();
  }

  // Guards against explain having an effect, and against history and versions that disagree.
  @Test
  void versionsAreShownComparedAndExported() throws Exception {
    createWorkspace();
    command(CHANGER, "c2", 1, "set workspace w weight 3");
    assertThat(query(READER, "explain remove firm f").body().path("problems")).hasSize(1);
    assertThat(query(READER, "explain drain host h").body().path("rows")).hasSize(1);
    assertThat(get("config/history").body().path("rows")).hasSize(2);
    assertThat(query(READER, "diff 1 2").body().path("rows").get(0).path("after").asText())
        .contains("\"weight\":3.0");
    assertThat(get("config/versions/1").body().path("workspaces").path("w").path("weight").asInt())
        .isEqualTo(1);
    assertThat(get("config/versions/9").status()).isEqualTo(404);
    String export =
        JSON.writeValueAsString(
            Map.of(
                "command_id",
                "c3",
                "expected_version",
                2,
                "commands",
                List.of(Map.of("import", get("config/versions/1").body()))));
    assertThat(call("POST", "commands", CHANGER, export).body().path("version").asLong())
        .isEqualTo(3);
    assertThat(get("config/versions/3").body().path("workspaces").path("w").path("weight").asInt())
        .isEqualTo(1);
  }

  // Guards against settings that hold a token in plain text or are taken half.
  @Test
  void tokenSettingsAreCheckedWhole() throws Exception {
    SettingsSpec spec = SettingsSpec.of("entry", List.of(AdminToken.SETTING));
    String table =
        "[[admin.tokens]]\noperator = \"elin\"\nrights = \"read\"\nworkspaces = [\"*\"]\n";
    String digest = "token_sha256 = \"" + "0a".repeat(32) + "\"\n";
    assertThat(spec.parse("f", table + digest).value(AdminToken.SETTING))
        .singleElement()
        .satisfies(token -> assertThat(token.unlimited()).isTrue());
    assertThatThrownBy(() -> spec.parse("f", table)).isInstanceOf(SettingsException.class);
  }
}
