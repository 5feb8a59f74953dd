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

/** Guards against exit codes and output that mislead an operator or a script. */
class CtlTest {
  /** A peer process that no query reaches, so the answer names it as silent. */
  private record SilentPeer(String process) implements QueryPeer {
    @Override
    public boolean send(Message message) {
      return false;
    }
  }

  private Path temporaryFolder;
  private final ByteArrayOutputStream stdout = new ByteArrayOutputStream();
  private final ByteArrayOutputStream stderr = new ByteArrayOutputStream();
  private final MemoryStore configStore = new MemoryStore();
  private final List<QueryPeer> queryPeers = new ArrayList<>();
  private ConfigService configService;
  private JsonServer adminServer;
  private int operatorsPort;

  @BeforeEach
  void start(@TempDir Path createdFolder) throws IOException {
    temporaryFolder = createdFolder;
    EventLog log = EventLog.of("test", InstantSource.system());
    configService =
        ConfigService.start(
            new ConfigMember("entry", "r"),
            true,
            configStore,
            new Random(1),
            InstantSource.system(),
            log);
    QueryResponder queryResponder =
        QueryResponder.of(
            subject ->
                subject == Subject.VERSIONS
                    ? List.of(Map.of("process", "entry", "version", configService.version()))
                    : List.of());
    adminServer =
        JsonServer.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1 << 20, log);
    AdminApi.of(
            configService,
            QueryExchange.of("entry", queryResponder, () -> queryPeers),
            List.of(AdminToken.of("elin", true, Set.of(), "secret")),
            InstantSource.system(),
            log)
        .addRoutes(adminServer)
        .start("operators");
    operatorsPort = adminServer.address().getPort();
    Files.writeString(temporaryFolder.resolve("token"), "secret\n");
  }

  @AfterEach
  void stop() {
    adminServer.close();
    configService.close();
  }

  /** Runs the program and captures its output. */
  private int runProgram(String... args) {
    stdout.reset();
    stderr.reset();
    return new Ctl(
            InstantSource.system(),
            new PrintStream(stdout, true, StandardCharsets.UTF_8),
            new PrintStream(stderr, true, StandardCharsets.UTF_8))
        .run(args);
  }

  /** Runs the program with the options that name the test entry and its token file. */
  private int runAgainstEntry(String... args) {
    List<String> allArgs =
        new ArrayList<>(
            List.of(
                "--entry",
                "http://127.0.0.1:" + operatorsPort,
                "--token-file",
                temporaryFolder.resolve("token").toString(),
                "--timeout",
                "1"));
    allArgs.addAll(List.of(args));
    return runProgram(allArgs.toArray(String[]::new));
  }

  private String stdoutText() {
    return stdout.toString(StandardCharsets.UTF_8);
  }

  private String stderrText() {
    return stderr.toString(StandardCharsets.UTF_8);
  }

  /** Writes a script that takes the configuration to version 3. */
  private Path writeScript() throws IOException {
    Path file = temporaryFolder.resolve("script");
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

  // Guards against options and exit codes that the help text lacks or wrongly lists.
  @Test
  void helpListsAllOptionsAndExitCodes() throws Exception {
    assertThat(runProgram("--help")).isZero();
    try (InputStream expectedHelp = getClass().getResourceAsStream("/help.txt")) {
      assertThat(stdoutText())
          .isEqualTo(
              new String(
                  Objects.requireNonNull(expectedHelp).readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  // Guards against an invalid call that exits with 0, and a syntax error without its column.
  @Test
  void invalidUsageReturnsMatchingExitCode() throws Exception {
    assertThat(runProgram("show", "pools")).isEqualTo(3);
    assertThat(runProgram("--colour", "show")).isEqualTo(2);
    assertThat(runAgainstEntry("show poools")).isEqualTo(2);
    assertThat(stderrText())
        .startsWith("show poools\n     ^\ncolumn 6: expected one of requests, ");
    assertThat(runAgainstEntry("import", temporaryFolder.resolve("nothing").toString()))
        .isEqualTo(3);
    assertThat(runAgainstEntry()).isEqualTo(2);
    Files.writeString(temporaryFolder.resolve("token"), "other");
    assertThat(runAgainstEntry("show pools")).isEqualTo(3);
    adminServer.close();
    assertThat(runAgainstEntry("show pools")).isEqualTo(1);
  }

  // Guards against table, CSV and JSON output that scripts can't parse.
  @Test
  void rowsArePrintedInEachFormat() throws Exception {
    assertThat(runAgainstEntry("--script", writeScript().toString())).as(stderrText()).isZero();
    assertThat(runAgainstEntry("show firms order by share")).isZero();
    assertThat(stdoutText())
        .isEqualTo(
            """
            name         share  workspaces
            trandafirul  0.25   0
            gwifren      0.5    1
            """);
    assertThat(runAgainstEntry("--format", "csv", "history")).isZero();
    assertThat(stdoutText())
        .startsWith("version,time,operator,command_id,command\r\n3,")
        .contains("\"create workspace \"\"w\"\" firm gwifren weight 2 priority 5\"\r\n");
    assertThat(runAgainstEntry("--format", "json", "diff 2 3")).isZero();
    assertThat(stdoutText()).contains("\"kind\" : \"workspaces\"");
    assertThat(runAgainstEntry("show pools")).isZero();
    assertThat(stdoutText()).isEqualTo("no rows\n");
  }

  // Guards against a rejected or merely explained command that exits as if it had been applied.
  @Test
  void rejectedCommandPrintsReason() throws Exception {
    assertThat(runAgainstEntry("--script", writeScript().toString())).as(stderrText()).isZero();
    assertThat(runAgainstEntry("remove firm gwifren")).isEqualTo(4);
    assertThat(stderrText()).contains("unknown firm gwifren");
    assertThat(runAgainstEntry("--expect", "1", "drain host h")).isEqualTo(4);
    assertThat(stderrText()).contains("Version 2 was made by elin with command");
    assertThat(runAgainstEntry("explain remove firm gwifren")).isEqualTo(4);
    assertThat(runAgainstEntry("explain drain host h")).isZero();
    assertThat(configService.version()).isEqualTo(3);
  }

  // Guards against a command that fails or is applied twice when sent again with the same id.
  @Test
  void unknownOutcomeIsSettledByRepeatedCommandId() throws Exception {
    configStore.setUnavailable(true);
    assertThat(runAgainstEntry("--command-id", "id-1", "--expect", "0", "create firm f share 1"))
        .isEqualTo(5);
    assertThat(stderrText()).contains("--command-id id-1 --expect 0");
    configStore.setUnavailable(false);
    for (int i = 0; i < 2; i++) {
      assertThat(runAgainstEntry("--command-id", "id-1", "--expect", "0", "create firm f share 1"))
          .isZero();
      assertThat(stdoutText()).contains("accepted");
    }
    assertThat(configService.current().changes()).hasSize(1);
  }

  // Guards against a partial answer that exits with 0, and a wait that ignores a silent process.
  @Test
  void partialAnswerReturnsItsOwnExitCode() throws Exception {
    assertThat(runAgainstEntry("--script", writeScript().toString())).as(stderrText()).isZero();
    queryPeers.add(new SilentPeer("agent-7"));
    assertThat(runAgainstEntry("show upstreams")).isEqualTo(6);
    assertThat(stderrText()).contains("agent-7");
    assertThat(runAgainstEntry("wait for version 3")).isEqualTo(6);
  }

  // Guards against an exported configuration that the import statement rejects.
  @Test
  void exportCanBeImported() throws Exception {
    assertThat(runAgainstEntry("--script", writeScript().toString())).as(stderrText()).isZero();
    assertThat(runAgainstEntry("export")).isZero();
    Path file = temporaryFolder.resolve("export.json");
    Files.writeString(file, stdoutText());
    assertThat(runAgainstEntry("remove workspace w")).isZero();
    assertThat(runAgainstEntry("import", file.toString())).as(stderrText()).isZero();
    assertThat(runAgainstEntry("--format", "csv", "show workspaces")).isZero();
    assertThat(stdoutText()).isEqualTo("name,firm,weight,priority\r\nw,gwifren,2.0,5\r\n");
    assertThat(runAgainstEntry("roll back to 1")).isZero();
    assertThat(configService.current().firms()).containsOnlyKeys("gwifren");
  }
}
