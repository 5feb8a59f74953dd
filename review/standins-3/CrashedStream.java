import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model servers crash with streams in progress, one after the other. The check: no stream ends as
 * complete before its last event.
 */
final class CrashedStream {
  private static final int ENGINES = 16;
  private static final int EVENTS = 30;

  /** Streams without a length are one in 20 at half of the servers, as the site has them. */
  private static final int STREAMS_PER_UNFRAMED = 20;

  /** Time from the start of a stream without a length to the crash. */
  private static final int CRASH_AFTER_MILLIS = 400;

  private static final int DOWN_MILLIS = 2000;
  private static final int CRASHES = 100;

  /** Servers that are down at a time: a quarter of them. */
  private static final int MOST_DOWN = 4;

  private static final int MAX_RUN_MILLIS = 90_000;

  private final Trial trial;
  private final Store store;
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private int down;
  private volatile boolean ended;

  private CrashedStream(Trial trial) throws Exception {
    this.trial = trial;
    this.store = new Store();
  }

  private void startEngine(int number) throws IOException {
    int port = Trial.freePort();
    Process process =
        new ProcessBuilder(
                "java",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "UnframedEngine",
                Integer.toString(port),
                Integer.toString(number % 2 == 0 ? STREAMS_PER_UNFRAMED : 0),
                Integer.toString(EVENTS))
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    trial.processes.add(process);
    String key = "servers/i-pool-" + number + "-" + Trial.newId().substring(10);
    String entry = Trial.entry("pool", "127.0.0.1:" + port, 128, System.currentTimeMillis(), 1);
    store.put(key, entry);
    Server.start("engine-" + number, () -> follow(number, process, key, entry));
  }

  /** Kills one server shortly after it has begun a stream without a length. */
  private void follow(int number, Process process, String key, String entry) {
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(process.getInputStream()))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        boolean crash = false;
        if (Trial.TROUBLE && line.startsWith("unframed ")) {
          synchronized (this) {
            crash = down < MOST_DOWN && !ended && crashes.get() < CRASHES && complete.get() > 100;
            down += crash ? 1 : 0;
          }
        }
        trial.record("model server " + number + ": " + line);
        if (crash) {
          Thread.sleep(CRASH_AFTER_MILLIS);
          process.destroyForcibly();
          process.waitFor();
          trial.record("model server " + number + " has crashed");
          crashes.incrementAndGet();
          Thread.sleep(DOWN_MILLIS);
          store.delete(key);
          startEngine(number);
          trial.record("model server " + number + " is started again");
          Thread.sleep(300);
          synchronized (this) {
            down--;
          }
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      trial.record("model server " + number + ": " + e);
    }
  }

  private void callOnce(Trial.Gateway gateway) {
    String id = Trial.newId();
    String head =
        "POST /query/a HTTP/1.1\r\nHost: pule25.example\r\nX-Oriolewell-Attempt-Id: "
            + id
            + "\r\nX-Oriolewell-Model: m\r\nX-Oriolewell-Token-Count: 715,280\r\n"
            + "X-Oriolewell-Prompt-Prefix: 5c1e07a2:103,"
            + id.substring(0, 2)
            + ":69,"
            + id.substring(0, 8)
            + ":543\r\nX-Oriolewell-Request-Deadline: 15000\r\nAuthorization: Bearer "
            + Trial.KEY
            + "\r\nContent-Length: 5\r\n\r\n";
    try {
      Http.Message answer = Trial.call(gateway.callers, head, "hello", 20_000);
      if (answer == null || answer.status() != 200) {
        trial.record(
            "caller " + id + " gets " + (answer == null ? "no answer" : answer.firstLine));
        return;
      }
      int events = answer.text().split("id: ", -1).length - 1;
      if (!answer.whole) {
        broken.incrementAndGet();
        trial.record("caller " + id + ": the stream broke off after " + events + " events");
      } else if (events < EVENTS) {
        cut.incrementAndGet();
        trial.record(
            "caller "
                + id
                + ": the stream ended as complete after "
                + events
                + " of "
                + EVENTS
                + " events");
      } else {
        complete.incrementAndGet();
      }
    } catch (IOException e) {
      trial.record("caller " + id + " gets no answer: " + e);
    }
  }

  private void run() throws Exception {
    for (int i = 0; i < ENGINES; i++) {
      startEngine(i);
    }
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"query\",\"host\":\"pule25.example\","
            + "\"prefix\":\"/query/\",\"kind\":\"streaming\",\"timeout_ms\":15000,"
            + "\"target_latency_ms\":1600,\"priority\":2,\"service\":\"pool\","
            + "\"max_attempts\":1,\"stages\":[],\"anonymous\":false,\"sticky\":true,"
            + "\"resumable\":false,\"target_gap_ms\":250}],\"services\":[{\"name\":\"pool\","
            + "\"health_path\":\"/health\",\"max_conns\":610,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":128,\"kv_capacity\":444000}}],"
            + Trial.LIMITS);
    Trial.Gateway gateway = trial.gateway("front-a-1", store.address(), 8);
    trial.start(gateway, 430, 4100);
    trial.awaitReady(gateway);
    Thread.sleep(2000);
    long endsAt = System.nanoTime() + MAX_RUN_MILLIS * 1_000_000L;
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < 96; i++) {
      int delay = i * 16;
      callers.add(
          Server.start(
              "caller",
              () -> {
                pause(delay);
                while (System.nanoTime() - endsAt < 0 && !ended) {
                  callOnce(gateway);
                }
              }));
    }
    while (System.nanoTime() - endsAt < 0 && crashes.get() < CRASHES) {
      Thread.sleep(50);
      if (!Trial.TROUBLE && complete.get() > 600) {
        break;
      }
    }
    ended = true;
    for (Thread caller : callers) {
      caller.join();
    }
    trial.record(complete + " complete streams, " + broken + " that broke off");
    if (complete.get() < 40 || (Trial.TROUBLE && crashes.get() == 0)) {
      trial.end(Trial.NOT_RUN, "too few streams, or no server has crashed");
    }
    trial.end(
        cut.get() > 0 ? Trial.BROKEN : Trial.HELD,
        cut
            + " streams ended as complete before their last event, "
            + crashes
            + " servers have crashed");
  }

  private static void pause(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  public static void main(String[] args) throws Exception {
    new CrashedStream(new Trial(args[0])).run();
  }
}
