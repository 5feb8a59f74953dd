package org.oriolewell.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.oriolewell.agent.AgentMain;
import org.oriolewell.entry.EntryMain;
import org.oriolewell.platform.PlatformMain;

/**
 * Guards against a process that runs out of memory or descriptors, or answers nobody, because of
 * callers that send much and stop short.
 */
@Timeout(120)
class ClientLoadTest {
  private static final List<String> JVM_OPTIONS =
      List.of("-Xmx64m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  /** Heap, code, classes and buffers outside the heap, which may be as large as the heap. */
  private static final long MAX_RESIDENT_KILOBYTES = 256 << 10;

  private static final int MAX_DESCRIPTORS = 1000;
  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private final List<Process> processes = new ArrayList<>();
  private Path folder;

  @BeforeEach
  void createFolder(@TempDir Path newFolder) {
    folder = newFolder;
  }

  @AfterEach
  void stop() throws Exception {
    for (Process started : processes) {
      started.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }
  }

  private Process process() {
    return processes.get(0);
  }

  @Test
  void entryServesCallers() throws Exception {
    int callersPort = freePort();
    startEntry(callersPort, freePort());
    assertHoldsOut(callersPort, "POST /v1/requests", "POST /v1/requests", 1 << 20);
  }

  @Test
  void entryServesOperators() throws Exception {
    int operatorsPort = freePort();
    startEntry(freePort(), operatorsPort);
    assertHoldsOut(operatorsPort, "POST /v1/admin/query", "GET /health", 1 << 20);
  }

  private void startEntry(int callersPort, int operatorsPort) throws IOException {
    start(
        EntryMain.class,
        "callers.port = " + callersPort + "\noperators.port = " + operatorsPort + "\n");
  }

  @Test
  void agentServesOperators() throws Exception {
    int operatorsPort = freePort();
    start(AgentMain.class, "wire.port = 0\noperators.port = " + operatorsPort + "\n");
    assertHoldsOut(operatorsPort, "GET /health", "GET /health", 64 << 10);
  }

  @Test
  void gatewayServesOperators() throws Exception {
    int operatorsPort = freePort();
    start(
        PlatformMain.class,
        String.format(
            """
            [gateway]
            name = "g1"
            zone = "z1"
            region = "r1"
            zones = ["z1=r1"]
            [callers]
            address = "127.0.0.1:0"
            [operators]
            address = "127.0.0.1:%d"
            [peers]
            address = "127.0.0.1:%d"
            [store]
            address = "127.0.0.1:%d"
            """,
            operatorsPort, freePort(), freePort()));
    assertHoldsOut(operatorsPort, "GET /metrics", "GET /metrics", 1 << 20);
  }

  private void assertHoldsOut(int port, String loaded, String ordinary, int bodyBytes)
      throws Exception {
    awaitAnswer(port, ordinary);
    try (ClientLoad load = ClientLoad.send(port, loaded, bodyBytes)) {
      assertThat(residentKilobytes()).isLessThan(MAX_RESIDENT_KILOBYTES);
      assertThat(descriptors()).isLessThan(MAX_DESCRIPTORS);
      assertThat(awaitAnswer(port, ordinary)).startsWith("HTTP/1.1 ");
      assertThat(load).isNotNull();
    }
    assertThat(awaitAnswer(port, ordinary)).startsWith("HTTP/1.1 ");
    assertThat(process().isAlive()).as(output()).isTrue();
    assertThat(output()).doesNotContain("OutOfMemoryError");
  }

  private void start(Class<?> program, String settings) throws IOException {
    Path settingsFile = folder.resolve("settings.toml");
    Files.writeString(settingsFile, settings);
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    List<String> arguments =
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            program.getName(),
            "--settings",
            settingsFile.toString());
    processes.add(
        new ProcessBuilder(
                Stream.of(List.of(java), JVM_OPTIONS, arguments).flatMap(List::stream).toList())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("output.log").toFile())
            .start());
  }

  private String output() throws IOException {
    return Files.readString(folder.resolve("output.log"));
  }

  private long residentKilobytes() throws IOException {
    return Files.readAllLines(Path.of("/proc/" + process().pid() + "/status")).stream()
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElse(0);
  }

  private long descriptors() throws IOException {
    try (Stream<Path> entries = Files.list(Path.of("/proc/" + process().pid() + "/fd"))) {
      return entries.count();
    }
  }

  /** Repeats a request until it is answered; the test's time-out bounds the repetition. */
  private String awaitAnswer(int port, String requestLine) throws IOException {
    while (process().isAlive()) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        String request =
            requestLine
                + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        String answer =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        if (!answer.isEmpty()) {
          return answer;
        }
      } catch (SocketException | SocketTimeoutException e) {
        // Not bound yet, or the connection was closed because of the load.
      }
      LockSupport.parkNanos(20_000_000);
    }
    throw new IOException("the process has ended: " + output());
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
