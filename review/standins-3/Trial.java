import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What all cases share: the record, the gateways, the clients, and the end of the run. */
final class Trial {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private static final int MAX_MILLIS = 116_000;

  /** Whether the disruption takes place. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  /** Key of the only workspace. */
  static final String KEY = "9dnn2ctnfzs989anu6ws";

  private static final Random RANDOM = new Random();

  final Path folder;
  private final Path temporary;
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  final List<Process> processes = Collections.synchronizedList(new ArrayList<>());

  Trial(String folderName) throws IOException {
    folder = Path.of(folderName);
    temporary = Files.createTempDirectory("review-3-");
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    Runtime.getRuntime().addShutdownHook(new Thread(this::clean));
    Server.start("watchdog", this::endInTime);
    record("disruption: " + (TROUBLE ? "yes" : "no"));
  }

  /** A gateway that runs as a process of its own. */
  static final class Gateway {
    String name;
    int callers;
    int operators;
    Path settings;
    Path log;
    Process process;
  }

  synchronized void record(String text) {
    record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
  }

  /** Ends a run that takes too long, so that none takes more than 120 s. */
  private void endInTime() {
    try {
      Thread.sleep(MAX_MILLIS);
      end(NOT_RUN, "the run was not over in time");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void clean() {
    List.copyOf(processes).forEach(Process::destroyForcibly);
    try (var files = Files.walk(temporary)) {
      files
          .sorted(java.util.Comparator.reverseOrder())
          .forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // Nothing else can be done about a file that stays.
    }
  }

  /** Ends the run with an exit code, after all processes have ended. */
  void end(int code, String verdict) {
    record("verdict: " + verdict);
    System.out.println(verdict);
    System.exit(code);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Prepares a gateway with settings like those that deploy/gateway.toml gives it. */
  Gateway gateway(String name, String storeAddress, int graceSeconds) throws IOException {
    Gateway gateway = new Gateway();
    gateway.name = name;
    gateway.callers = freePort();
    gateway.operators = freePort();
    gateway.settings = temporary.resolve(name + ".toml");
    Files.writeString(
        gateway.settings,
        String.join(
            "\n",
            "[gateway]",
            "name = \"" + name + "\"",
            "zone = \"zone-a\"",
            "region = \"region-1\"",
            "zones = [\"zone-a=region-1\"]",
            "[callers]",
            "address = \"127.0.0.1:" + gateway.callers + "\"",
            "[operators]",
            "address = \"127.0.0.1:" + gateway.operators + "\"",
            "ready_path = \"/readiness\"",
            "[peers]",
            "address = \"127.0.0.1:" + freePort() + "\"",
            "[store]",
            "address = \"" + storeAddress + "\"",
            "[keys]",
            "revocation_millis = 5000",
            "[stop]",
            "timeout_millis = " + graceSeconds + "000",
            "[retries]",
            "ratio = 0.2",
            "slack = 52",
            "window_seconds = 10",
            ""));
    return gateway;
  }

  /**
   * Starts a gateway with the command of the deploy file, on a machine of a given size.
   *
   * @param memory memory that the machine reports, in megabytes
   * @param descriptors most descriptors of the process
   */
  void start(Gateway gateway, int memory, int descriptors) throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"([^\"]+)\"").matcher(deploy);
    if (!run.find()) {
      end(NOT_RUN, "deploy/system.toml has no command");
    }
    String command =
        run.group(1).replace("/etc/oriolewell/boot.toml", gateway.settings.toString());
    ProcessBuilder builder =
        new ProcessBuilder("bash", "-c", "ulimit -n " + descriptors + " && exec " + command);
    builder.environment().put("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=" + memory + "m");
    gateway.log = temporary.resolve("log-" + gateway.name + ".txt");
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(gateway.log.toFile()));
    gateway.process = builder.start();
    processes.add(gateway.process);
    record("start of " + gateway.name);
  }

  /** Waits until a gateway says that it is ready, or ends the run. */
  void awaitReady(Gateway gateway) throws Exception {
    for (int i = 0; i < 300; i++) {
      try {
        Http.Message answer =
            call(gateway.operators, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", "", 2000);
        if (answer != null && answer.status() == 200) {
          record(gateway.name + " is ready");
          return;
        }
      } catch (IOException e) {
        // It isn't listening yet.
      }
      Thread.sleep(100);
    }
    end(NOT_RUN, gateway.name + " is not ready within 30 s");
  }

  /** Sends one request on a connection of its own; null if it is closed without an answer. */
  static Http.Message call(int port, String head, String body, int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
      return Http.answer(new BufferedInputStream(socket.getInputStream()));
    }
  }

  static String newId() {
    return String.format("%016x", RANDOM.nextLong());
  }

  static String seal() {
    return String.format("%04x.07.5a2.600.0.%08x", RANDOM.nextInt(65536), RANDOM.nextInt());
  }

  static final String LIMITS =
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
          + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\""
          + KEY
          + "\"],\"priority\":1}]}";

  /** Returns the entry of a server that is ready. */
  static String entry(String service, String address, int slots, long born, int sequence) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\","
            + "\"slots\":%d,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":%d,\"born\":%d}",
        service, address, slots, sequence, born);
  }
}
