import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server of a plain service crashes while it writes an answer that has no length. The check: no
 * caller gets a success whose body isn't the server's whole body.
 */
final class CrashMidAnswer {
  private static final int SERVERS = 4;

  /** Answers without a length are one in 20, the largest dose of the site. */
  private static final int ANSWERS_PER_UNFRAMED = 20;

  private static final int PAUSE_MILLIS = 60;
  private static final int DOWN_MILLIS = 4500;
  private static final int CRASHES = 3;
  private static final int MAX_RUN_MILLIS = 40_000;

  private final Trial trial;
  private final Store store;
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private volatile boolean down;
  private volatile boolean ended;

  private CrashMidAnswer(Trial trial) throws Exception {
    this.trial = trial;
    this.store = new Store();
  }

  private void startServer(int number, int port) throws IOException {
    Process process =
        new ProcessBuilder(
                "java",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "UnframedServer",
                Integer.toString(port),
                Integer.toString(PAUSE_MILLIS),
                Integer.toString(ANSWERS_PER_UNFRAMED))
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    trial.processes.add(process);
    String id = "i-desk-" + number + "-" + Trial.newId().substring(10);
    String key = "servers/" + id;
    store.put(
        key, Trial.entry("desk", "127.0.0.1:" + port, 6, System.currentTimeMillis(), 1));
    Server.start("server-" + number, () -> follow(number, port, process, key));
  }

  /** Kills the server when an unframed answer is half written, and starts it again later. */
  private void follow(int number, int port, Process process, String key) {
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(process.getInputStream()))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        boolean crash = false;
        if (Trial.TROUBLE && line.startsWith("half ")) {
          synchronized (this) {
            crash = !down && !ended && crashes.get() < CRASHES && whole.get() > 200;
            down |= crash;
          }
        }
        if (crash) {
          process.destroyForcibly();
          crashes.incrementAndGet();
          trial.record("server " + number + ": " + line + " written; SIGKILL to its process");
          process.waitFor();
          // Three liveness intervals of 1.2 s after its last entry the store removes it.
          Thread.sleep(3600);
          store.delete(key);
          Thread.sleep(DOWN_MILLIS - 3600);
          startServer(number, port);
          trial.record("server " + number + " is started again");
          Thread.sleep(2000);
          down = false;
          return;
        }
        trial.record("server " + number + ": " + line);
      }
    } catch (IOException | InterruptedException e) {
      trial.record("server " + number + ": " + e);
    }
  }

  private void callOnce(Trial.Gateway gateway, int caller) {
    String id = Trial.newId();
    boolean unsafe = caller % 2 == 0;
    String head =
        (unsafe ? "POST /permit/a" : "GET /history/a")
            + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Oriolewell-Attempt-Id: "
            + id
            + "\r\nX-Oriolewell-Request-Deadline: 2000\r\nAuthorization: Bearer "
            + Trial.KEY
            + "\r\n"
            + (unsafe ? "Content-Length: 5\r\n\r\nhello" : "\r\n");
    try {
      Http.Message answer = Trial.call(gateway.callers, head, "", 10_000);
      if (answer == null || answer.status() != 200) {
        trial.record(
            "caller " + id + " gets " + (answer == null ? "no answer" : answer.firstLine));
      } else if (answer.whole && !answer.text().equals(UnframedServer.body(id))) {
        cut.incrementAndGet();
        trial.record(
            "caller "
                + id
                + (unsafe ? " (unsafe)" : " (safe)")
                + " gets 200 with seal "
                + answer.header("X-Oriolewell-Server-Seal")
                + ", Content-Length "
                + answer.header("Content-Length")
                + " of "
                + UnframedServer.body(id).length()
                + " bytes of the server's body");
      } else {
        whole.incrementAndGet();
      }
    } catch (IOException e) {
      trial.record("caller " + id + " gets no answer: " + e);
    }
  }

  private void run() throws Exception {
    for (int i = 0; i < SERVERS; i++) {
      startServer(i, Trial.freePort());
    }
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"permit\",\"host\":\"jepu9.example\","
            + "\"prefix\":\"/permit/\",\"kind\":\"unsafe\",\"timeout_ms\":1000,"
            + "\"target_latency_ms\":400,\"priority\":2,\"service\":\"desk\","
            + "\"max_attempts\":1,\"anonymous\":false},{\"name\":\"history\","
            + "\"host\":\"jepu9.example\",\"prefix\":\"/history/\",\"kind\":\"safe\","
            + "\"timeout_ms\":1000,\"target_latency_ms\":400,\"priority\":2,"
            + "\"service\":\"desk\",\"max_attempts\":2,\"anonymous\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":96,"
            + "\"protocol\":\"h1\",\"tls\":false}],"
            + Trial.LIMITS);
    Trial.Gateway gateway = trial.gateway("front-a-1", store.address(), 8);
    trial.start(gateway);
    trial.awaitReady(gateway);
    Thread.sleep(2000);
    long endsAt = System.nanoTime() + MAX_RUN_MILLIS * 1_000_000L;
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      int caller = i;
      callers.add(
          Server.start(
              "caller",
              () -> {
                while (System.nanoTime() - endsAt < 0 && !ended) {
                  callOnce(gateway, caller);
                }
              }));
    }
    while (System.nanoTime() - endsAt < 0 && (crashes.get() < CRASHES || down)) {
      Thread.sleep(50);
      if (!Trial.TROUBLE && whole.get() > 1000) {
        break;
      }
    }
    ended = true;
    for (Thread caller : callers) {
      caller.join();
    }
    trial.record(whole + " whole answers, " + crashes + " crashes");
    if (whole.get() < 100 || (Trial.TROUBLE && crashes.get() == 0)) {
      trial.end(Trial.NOT_RUN, "too few answers, or no crash");
    }
    trial.end(
        cut.get() > 0 ? Trial.BROKEN : Trial.HELD,
        cut + " callers got a part of the server's body as a whole success, in "
            + crashes
            + " crashes");
  }

  public static void main(String[] args) throws Exception {
    new CrashMidAnswer(new Trial(args[0])).run();
  }
}
