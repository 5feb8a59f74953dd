import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: a store, a manifest, servers, and gateways that run as
 * processes of their own with the command and the template of the deploy file. Keeps the record.
 */
final class Deployment {
  /** Reports that the case could not run. */
  static final class NotRun extends Exception {
    NotRun(String message) {
      super(message);
    }
  }

  /** A gateway process. */
  static final class Gateway {
    final String name;
    final int callersPort;
    final int operatorsPort;
    final Process process;

    private Gateway(String name, int callersPort, int operatorsPort, Process process) {
      this.name = name;
      this.callersPort = callersPort;
      this.operatorsPort = operatorsPort;
      this.process = process;
    }
  }

  private static final String ZONES =
      "\"caerdydd-a=de-cymru\",\"bangor-a=gogledd\",\"caerdydd-b=de-cymru\"";

  static final String KEY = "9dnn2ctnfzs989anu6ws";
  static final String AUTHORIZATION = "Authorization: Bearer " + KEY + "\r\n";

  final Store store;
  private final Path folder;
  private final long startedAt = System.nanoTime();
  private final List<String> record = new ArrayList<>();
  private final Map<String, String> serverFields = new LinkedHashMap<>();
  private final Set<String> cutServers = new HashSet<>();
  private final List<Process> processes = new ArrayList<>();
  private long sequence;

  Deployment(Path folder) throws IOException {
    this.folder = folder;
    store = new Store();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    Server.start(this::beat);
  }

  /** Whether the disruption of the case takes place. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Adds a line to the record, with the seconds since the start. */
  synchronized void record(String line) {
    double seconds = (System.nanoTime() - startedAt) / 1e9;
    String text = String.format(java.util.Locale.ROOT, "%8.3f s  %s", seconds, line);
    record.add(text);
    System.out.println(text);
  }

  /** Writes the record and ends the process: 1 if the rule was broken, 0 if it held, 2 otherwise. */
  void end(int code) {
    record(code == 1 ? "RULE BROKEN" : code == 0 ? "the rule held" : "the case could not run");
    endProcesses();
    try {
      Files.write(Path.of(System.getProperty("record")), record);
    } catch (IOException e) {
      System.err.println("no record: " + e);
    }
    Runtime.getRuntime().halt(code);
  }

  private synchronized void endProcesses() {
    processes.forEach(Process::destroyForcibly);
  }

  /** Ends a case that takes too long. */
  void limit(Duration time) {
    Server.start(
        () -> {
          pause(time.toMillis());
          record("no end after " + time.toSeconds() + " s");
          end(2);
        });
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // Manifest and servers.

  /** Writes the manifest. */
  void manifest(int version, List<String> routes, List<String> services) {
    store.put(
        "op/config",
        "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"" + KEY + "\"]}]}");
  }

  /** Returns a route whose prefix is its name. */
  static String route(
      String name, String kind, String service, int timeoutMillis, int targetMillis, String more) {
    return "{\"name\":\"" + name + "\",\"host\":\"front.example\",\"prefix\":\"/" + name
        + "/\",\"kind\":\"" + kind + "\",\"service\":\"" + service + "\",\"timeout_ms\":"
        + timeoutMillis + ",\"target_latency_ms\":" + targetMillis + ",\"priority\":2" + more + "}";
  }

  /** Registers a server; its entry is written again at each heartbeat. */
  synchronized void register(String id, String service, String address, String zone, int slots) {
    serverFields.put(
        id,
        "\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":1,\"slots\":" + slots + ",\"cold_left_ms\":0,\"born\":"
            + System.currentTimeMillis());
    write(id, "ready");
  }

  /** Writes the entry of a server with a state. */
  synchronized void write(String id, String state) {
    store.put(
        "servers/" + id,
        "{" + serverFields.get(id) + ",\"state\":\"" + state + "\",\"sequence\":" + ++sequence
            + "}");
  }

  /** Cuts a server off from the store; its entry is removed after three heartbeats. */
  synchronized void cut(String id) {
    cutServers.add(id);
  }

  /** Removes the entry of a server, as the store does after a silence. */
  synchronized void expire(String id) {
    store.delete("servers/" + id);
  }

  /** Ends a cut: the server writes its entry again. */
  synchronized void heal(String id) {
    cutServers.remove(id);
    write(id, "ready");
  }

  private void beat() {
    while (true) {
      pause(1200);
      synchronized (this) {
        serverFields.keySet().stream()
            .filter(id -> !cutServers.contains(id))
            .forEach(id -> write(id, "ready"));
      }
    }
  }

  /** Starts another program of this case as a process of its own; it prints its address. */
  Process startProcess(String... words) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx64m", "-cp", System.getProperty("java.class.path")));
    command.addAll(List.of(words));
    Process process =
        new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    synchronized (this) {
      processes.add(process);
    }
    return process;
  }

  // Gateways.

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** Starts a gateway and doesn't wait until it is ready. */
  Gateway startGateway(String name) throws IOException {
    int callersPort = freePort();
    int operatorsPort = freePort();
    String template = Files.readString(Path.of("deploy/gateway.toml"));
    String settings =
        template
            .replace("{{#zones}}\"{{@}}={{.}}\"{{,}}{{/zones}}", ZONES)
            .replace("{{node_name}}", name)
            .replace("{{zone}}", "caerdydd-a")
            .replace("{{region}}", "de-cymru")
            .replace("{{listen.front}}", "127.0.0.1:" + callersPort)
            .replace("{{listen.ready}}", "127.0.0.1:" + operatorsPort)
            .replace("{{ip}}:{{internal_ports.0}}", "127.0.0.1:" + freePort())
            .replace("{{platform.address}}", store.address())
            .replace("{{bounds.revoke_ms}}", "5000")
            .replace("{{bounds.grace_s}}", "8")
            .replace("{{bounds.retry_budget_ratio}}", "0.2")
            .replace("{{bounds.retry_slack}}", "52")
            .replace("{{bounds.budget_window_s}}", "10");
    if (settings.contains("{{")) {
      throw new IOException("the template has fields that this case doesn't know");
    }
    Path file = folder.resolve(name + ".toml");
    Files.writeString(file, settings);
    Matcher run =
        Pattern.compile("\\[roles\\.gateway\\]\\s+run = \"([^\"]*)\"")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file names no command");
    }
    List<String> command = new ArrayList<>();
    for (String word : run.group(1).split(" ")) {
      command.add(word.equals("/etc/oriolewell/boot.toml") ? file.toString() : word);
    }
    File log = folder.resolve(name + ".log").toFile();
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    synchronized (this) {
      processes.add(process);
    }
    record("gateway " + name + " started, process " + process.pid());
    return new Gateway(name, callersPort, operatorsPort, process);
  }

  /** Waits until a gateway says that it is ready. */
  void awaitReady(Gateway gateway) throws NotRun {
    for (int i = 0; i < 300; i++) {
      if (ready(gateway)) {
        record("gateway " + gateway.name + " is ready");
        return;
      }
      pause(100);
    }
    throw new NotRun("the gateway is not ready");
  }

  /** Starts three gateways, waits until they are ready, and returns the first. */
  Gateway startGateways() throws IOException, NotRun {
    List<Gateway> gateways = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      gateways.add(startGateway("front-caerdydd-a-" + i));
    }
    for (Gateway gateway : gateways) {
      awaitReady(gateway);
    }
    pause(1500);
    return gateways.get(0);
  }

  private static boolean ready(Gateway gateway) {
    try {
      URI uri = URI.create("http://127.0.0.1:" + gateway.operatorsPort + "/readiness");
      HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build();
      return HttpClient.newHttpClient()
              .send(request, HttpResponse.BodyHandlers.discarding())
              .statusCode()
          == 200;
    } catch (IOException | InterruptedException e) {
      return false;
    }
  }

  /** Sends a signal, as the platform does. */
  static void signal(String name, Process process) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
        .inheritIO()
        .start()
        .waitFor(5, TimeUnit.SECONDS);
  }
}
