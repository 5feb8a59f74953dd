package org.oriolewell.proofs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.oriolewell.agent.AgentMain;
import org.oriolewell.entry.EntryMain;
import org.oriolewell.standins.StandinMain;

/**
 * Starts real processes of the system and of the stand-ins on loopback, and stops those it started.
 * A process writes its log to {@code target/fleet}.
 */
final class Fleet implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final HttpClient HTTP =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(5))
          .build();

  private final Path folder;
  private final List<Member> members = new ArrayList<>();

  private Fleet(Path folder) {
    this.folder = folder;
  }

  /** Returns a fleet without processes. */
  static Fleet in(String name) throws IOException {
    Path folder = Path.of("target", "fleet", name).toAbsolutePath();
    Files.createDirectories(folder);
    return new Fleet(folder);
  }

  /** A running process. */
  static final class Member {
    private final Process process;
    private final Path log;

    private Member(Process process, Path log) {
      this.process = process;
      this.log = log;
    }

    /** Returns the address of a port, once the process has logged it. */
    String address(String port) {
      String text = "\"port\":\"" + port + "\"";
      await(START_TIMEOUT, () -> line(text).isPresent(), "port " + port + " of " + log);
      try {
        return JSON.readTree(line(text).orElseThrow()).path("address").asText();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    private Optional<String> line(String text) {
      try {
        return Files.readAllLines(log).stream()
            .filter(line -> line.contains("OW-1001") && line.contains(text))
            .findFirst();
      } catch (IOException e) {
        return Optional.empty();
      }
    }

    /** Returns how many lines of the log contain all of the given texts. */
    long logLines(String... texts) {
      try {
        return Files.readAllLines(log).stream()
            .filter(line -> Stream.of(texts).allMatch(line::contains))
            .count();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Ends the process without notice. */
    void kill() throws InterruptedException {
      process.destroyForcibly().waitFor();
    }

    /** Asks for a planned stop and returns whether the process ended in time. */
    boolean stop(Duration timeout) throws InterruptedException {
      process.destroy();
      return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Freezes the process, as a long pause would. */
    void freeze() throws IOException, InterruptedException {
      signal("STOP");
    }

    /** Continues a frozen process. */
    void resume() throws IOException, InterruptedException {
      signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
  }

  /** Starts a stand-in; settings are TOML lines. */
  Member standin(String kind, String name, String settings) throws IOException {
    return start(StandinMain.class, List.of(kind), name, settings);
  }

  /** Starts an agent. */
  Member agent(String name, String settings) throws IOException {
    return start(AgentMain.class, List.of(), name, settings);
  }

  /** Starts an entry. */
  Member entry(String name, String settings) throws IOException {
    return start(EntryMain.class, List.of(), name, settings);
  }

  private Member start(Class<?> main, List<String> arguments, String name, String settings)
      throws IOException {
    Path file = folder.resolve(name + ".toml");
    Files.writeString(file, settings);
    Path log = folder.resolve(name + ".log");
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx200m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    command.addAll(arguments);
    command.addAll(List.of("--settings", file.toString()));
    Process process =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    Member member = new Member(process, log);
    members.add(member);
    return member;
  }

  /** Sends an HTTP request with a JSON body and returns the whole answer. */
  static HttpResponse<String> http(String method, String url, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(Duration.ofSeconds(30))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Reads JSON. */
  static JsonNode json(String text) throws IOException {
    return JSON.readTree(text);
  }

  /** Waits until an HTTP resource answers 200. */
  static void awaitOk(String url) {
    await(
        START_TIMEOUT,
        () -> {
          try {
            return http("GET", url, "").statusCode() == 200;
          } catch (IOException e) {
            return false;
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
          }
        },
        url);
  }

  /** Waits until a condition holds. */
  static void await(Duration timeout, BooleanSupplier condition, String what) {
    long end = System.nanoTime() + timeout.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("not reached within " + timeout + ": " + what);
      }
      LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
    }
  }

  @Override
  public void close() {
    members.forEach(member -> member.process.destroyForcibly());
  }
}
