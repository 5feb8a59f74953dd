package org.oriolewell.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oriolewell.core.config.ConfigMember;
import org.oriolewell.core.config.language.Subject;
import org.oriolewell.runtime.admin.AdminApi;
import org.oriolewell.runtime.admin.AdminToken;
import org.oriolewell.runtime.admin.QueryExchange;
import org.oriolewell.runtime.admin.QueryPeer;
import org.oriolewell.runtime.admin.QueryResponder;
import org.oriolewell.runtime.config.ConfigService;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.wire.Message;

/** Guards against exit codes and texts that mislead an operator or a script. */
class CtlTest {
  /** A process that never answers. */
  private record SilentPeer(String process) implements QueryPeer {
    @Override
    public boolean send(Message message) {
      return false;
    }
  }

  private Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final MemoryStore store = new MemoryStore();
  private final List<QueryPeer> peers = new ArrayList<>();
  private ConfigService config;
  private JsonServer server;
  private int port;

  @BeforeEach
  void start(@TempDir Path temporary) throws IOException {
    folder = temporary;
    EventLog log = EventLog.of("test", InstantSource.system());
    config =
        ConfigService.start(
            new ConfigMember("entry", "r"),
            true,
            store,
            new Random(1),
            InstantSource.system(),
            log);
    QueryResponder responder =
        QueryResponder.of(
            subject ->
                subject == Subject.VERSIONS
                    ? List.of(Map.of("process", "entry", "version", config.version()))
                    : List.of());
    server =
        JsonServer.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1 << 20, log);
    AdminApi.of(
            config,
            QueryExchange.of("entry", responder, () -> peers),
            List.of(AdminToken.of("elin", true, Set.of(), "secret")),
            InstantSource.system(),
            log)
        .addRoutes(server)
        .start("operators");
    port = server.address().getPort();
    Files.writeString(folder.resolve("token"), "secret\n");
  }

  @AfterEach
  void stop() {
    server.close();
    config.close();
  }

  private int run(String... args) {
    out.reset();
    err.reset();
    return new Ctl(
            InstantSource.system(),
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8))
        .run(args);
  }

  private int ctl(String... args) {
    List<String> all =
        new ArrayList<>(
            List.of(
                "--entry",
                "http://127.0.0.1:" + port,
                "--token-file",
                folder.resolve("token").toString(),
                "--timeout",
                "1"));
    all.addAll(List.of(args));
    return run(all.toArray(String[]::new));
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private Path script() throws IOException {
    Path file = folder.resolve("script");
    Files.writeString(
        file,
        """
        # Two firms.
        create firm gwifren share 50%
        create firm trandafirul share 0.25

        create workspace "w" firm gwifren weight 2 priority 5
        wait for version 3
        """);
    return file;
  }

  // Guards against options and exit codes that aren't in the help, or the other way round.
  @Test
  void helpIsWhole() throws Exception {
    assertThat(run("--help")).isZero();
    try (InputStream expected = getClass().getResourceAsStream("/help.txt")) {
      assertThat(out())
          .isEqualTo(
              new String(Objects.requireNonNull(expected).readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  // Guards against a wrong call that looks like success, and an error that doesn't show its place.
  @Test
  void wrongCallsHaveTheirExitCodes() throws Exception {
    assertThat(run("show", "pools")).isEqualTo(3);
    assertThat(run("--colour", "show")).isEqualTo(2);
    assertThat(ctl("show poools")).isEqualTo(2);
    assertThat(err()).startsWith("show poools\n     ^\ncolumn 6: expected one of requests, ");
    assertThat(ctl("import", folder.resolve("nothing").toString())).isEqualTo(3);
    assertThat(ctl()).isEqualTo(2);
    Files.writeString(folder.resolve("token"), "other");
    assertThat(ctl("show pools")).isEqualTo(3);
    server.close();
    assertThat(ctl("show pools")).isEqualTo(1);
  }

  // Guards against formats that scripts can't read.
  @Test
  void answersComeInEachFormat() throws Exception {
    assertThat(ctl("--script", script().toString())).as(err()).isZero();
    assertThat(ctl("show firms order by share")).isZero();
    assertThat(out())
        .isEqualTo(
            """
            name         share  workspaces
            trandafirul  0.25   0
            gwifren      0.5    1
            """);
    assertThat(ctl("--format", "csv", "history")).isZero();
    assertThat(out())
        .startsWith("version,time,operator,command_id,command\r\n3,")
        .contains("\"create workspace \"\"w\"\" firm gwifren weight 2 priority 5\"\r\n");
    assertThat(ctl("--format", "json", "diff 2 3")).isZero();
    assertThat(out()).contains("\"kind\" : \"workspaces\"");
    assertThat(ctl("show pools")).isZero();
    assertThat(out()).isEqualTo("no rows\n");
  }

  // Guards against a rejected or explained command that seems to have worked.
  @Test
  void rejectedCommandsSayWhy() throws Exception {
    assertThat(ctl("--script", script().toString())).as(err()).isZero();
    assertThat(ctl("remove firm gwifren")).isEqualTo(4);
    assertThat(err()).contains("unknown firm gwifren");
    assertThat(ctl("--expect", "1", "drain host h")).isEqualTo(4);
    assertThat(err()).contains("Version 2 was made by elin with command");
    assertThat(ctl("explain remove firm gwifren")).isEqualTo(4);
    assertThat(ctl("explain drain host h")).isZero();
    assertThat(config.version()).isEqualTo(3);
  }

  // Guards against an unknown outcome that can't be settled or has two effects.
  @Test
  void unknownOutcomeIsSettledByRepeating() throws Exception {
    store.away(true);
    assertThat(ctl("--command-id", "id-1", "--expect", "0", "create firm f share 1")).isEqualTo(5);
    assertThat(err()).contains("--command-id id-1 --expect 0");
    store.away(false);
    for (int i = 0; i < 2; i++) {
      assertThat(ctl("--command-id", "id-1", "--expect", "0", "create firm f share 1")).isZero();
      assertThat(out()).contains("accepted");
    }
    assertThat(config.current().changes()).hasSize(1);
  }

  // Guards against a partial answer that seems whole, and a wait that ends too early.
  @Test
  void partialAnswersAreMarked() throws Exception {
    assertThat(ctl("--script", script().toString())).as(err()).isZero();
    peers.add(new SilentPeer("agent-7"));
    assertThat(ctl("show upstreams")).isEqualTo(6);
    assertThat(err()).contains("agent-7");
    assertThat(ctl("wait for version 3")).isEqualTo(6);
  }

  // Guards against an export that can't be imported.
  @Test
  void exportCanBeImported() throws Exception {
    assertThat(ctl("--script", script().toString())).as(err()).isZero();
    assertThat(ctl("export")).isZero();
    Path file = folder.resolve("export.json");
    Files.writeString(file, out());
    assertThat(ctl("remove workspace w")).isZero();
    assertThat(ctl("import", file.toString())).as(err()).isZero();
    assertThat(ctl("--format", "csv", "show workspaces")).isZero();
    assertThat(out()).isEqualTo("name,firm,weight,priority\r\nw,gwifren,2.0,5\r\n");
    assertThat(ctl("roll back to 1")).isZero();
    assertThat(config.current().firms()).containsOnlyKeys("gwifren");
  }
}
