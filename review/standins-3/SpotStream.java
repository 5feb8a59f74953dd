import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model server says that it drains and is gone two seconds later, with streams in progress. The
 * check: no stream ends as complete before its last event.
 */
final class SpotStream {
  private static final int ENGINES = 4;
  private static final int EVENTS = 70;

  /** Streams without a length are one in 20, the largest dose of the site. */
  private static final int STREAMS_PER_UNFRAMED = 20;

  private static final int NOTICE_MILLIS = 2000;
  private static final int REPLACED_MILLIS = 4000;
  private static final int NOTICES = 2;
  private static final int MAX_RUN_MILLIS = 70_000;

  private final Trial trial;
  private final Store store;
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();
  private final AtomicInteger notices = new AtomicInteger();
  private volatile boolean leaving;
  private volatile boolean ended;

  private SpotStream(Trial trial) throws Exception {
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
                Integer.toString(STREAMS_PER_UNFRAMED),
                Integer.toString(EVENTS))
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    trial.processes.add(process);
    String key = "servers/i-pool-" + number + "-" + Trial.newId().substring(10);
    String entry = Trial.entry("pool", "127.0.0.1:" + port, 128, System.currentTimeMillis(), 1);
    store.put(key, entry);
    Server.start("engine-" + number, () -> follow(number, process, key, entry));
  }

  /** Lets one server leave shortly after it has begun a stream without a length. */
  private void follow(int number, Process process, String key, String entry) {
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(process.getInputStream()))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        boolean leave = false;
        if (Trial.TROUBLE && line.startsWith("unframed ")) {
          synchronized (this) {
            leave = !leaving && !ended && notices.get() < NOTICES && complete.get() > 40;
            leaving |= leave;
          }
        }
        trial.record("model server " + number + ": " + line);
        if (leave) {
          store.put(
              key,
              entry
                  .replace("\"state\":\"ready\"", "\"state\":\"draining\"")
                  .replace("\"sequence\":1", "\"sequence\":2"));
          trial.record("model server " + number + " says that it drains");
          Thread.sleep(NOTICE_MILLIS);
          process.destroyForcibly();
          process.waitFor();
          trial.record("model server " + number + " is gone");
          notices.incrementAndGet();
          Thread.sleep(REPLACED_MILLIS);
          store.delete(key);
          startEngine(number);
          trial.record("another model server has come");
          Thread.sleep(2000);
          leaving = false;
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
    trial.start(gateway);
    trial.awaitReady(gateway);
    Thread.sleep(2000);
    long endsAt = System.nanoTime() + MAX_RUN_MILLIS * 1_000_000L;
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      int delay = i * 150;
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
    while (System.nanoTime() - endsAt < 0 && (notices.get() < NOTICES || leaving)) {
      Thread.sleep(50);
      if (!Trial.TROUBLE && complete.get() > 150) {
        break;
      }
    }
    ended = true;
    for (Thread caller : callers) {
      caller.join();
    }
    trial.record(complete + " complete streams, " + broken + " that broke off");
    if (complete.get() < 40 || (Trial.TROUBLE && notices.get() == 0)) {
      trial.end(Trial.NOT_RUN, "too few streams, or no server has left");
    }
    trial.end(
        cut.get() > 0 ? Trial.BROKEN : Trial.HELD,
        cut
            + " streams ended as complete before their last event, "
            + notices
            + " servers have left");
  }

  private static void pause(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  public static void main(String[] args) throws Exception {
    new SpotStream(new Trial(args[0])).run();
  }
}
