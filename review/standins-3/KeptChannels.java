import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients keep their channels open after an answer, and a few of them send large bodies that
 * stop just short of their end. The check: the gateway goes on to answer ordinary requesters.
 */
final class KeptChannels {
  /** Machine of the site: class front of gwifren-llwybr. */
  private static final int MEMORY_MB = 430;

  private static final int DESCRIPTORS = 4100;

  private static final int KEPT_CHANNELS = 1600;
  private static final int OPENERS = 80;
  private static final int LARGE_BODIES = 24;
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final int MISSING_BYTES = 64 << 10;

  private static final int ORDINARY_REQUESTERS = 8;
  private static final int ROUTE_TIMEOUT_MILLIS = 1000;
  private static final int ANSWER_SLACK_MILLIS = 500;
  private static final int WORK_MILLIS = 60;

  /** Requests still unanswered at the time-out that the rule needs at least. */
  private static final int MIN_OVERDUE = 8;

  private final Trial trial;
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger overdue = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();

  /** Requests on kept channels that a server ran and whose channel ended without an answer. */
  private final AtomicInteger lost = new AtomicInteger();

  private final List<Socket> crowd = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger crowdAnswers = new AtomicInteger();
  private volatile boolean ended;

  private KeptChannels(Trial trial) {
    this.trial = trial;
  }

  private void serve(Http.Message request, Server.Connection connection) throws Exception {
    String id = request.header("X-Oriolewell-Attempt-Id");
    ran.add(id);
    Thread.sleep(WORK_MILLIS);
    connection.write(
        Http.bytes(
            "200 OK",
            "X-Oriolewell-Attempt-Id: "
                + id
                + "\r\nX-Oriolewell-Server-Seal: "
                + Trial.seal()
                + "\r\n",
            "record of " + id + "r".repeat(770)));
  }

  private static byte[] head(String id, int bodyBytes) {
    return ("POST /permit/a HTTP/1.1\r\nHost: jepu9.example\r\nX-Oriolewell-Attempt-Id: "
            + id
            + "\r\nX-Oriolewell-Request-Deadline: 2000\r\nAuthorization: Bearer "
            + Trial.KEY
            + "\r\nContent-Length: "
            + bodyBytes
            + "\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[] request(String id) {
    byte[] head = head(id, 600);
    byte[] request = Arrays.copyOf(head, head.length + 600);
    Arrays.fill(request, head.length, request.length, (byte) 'b');
    return request;
  }

  /** Sends ordinary requests on kept channels, each after the answer to the one before. */
  private void ordinary(Trial.Gateway gateway) {
    while (!ended) {
      try (Socket socket = new Socket("127.0.0.1", gateway.callers)) {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        for (int i = 0; !ended; i++) {
          String id = Trial.newId();
          Http.Message answer = ask(socket, in, id);
          if (answer == null) {
            if (i > 0 && ran.contains(id)) {
              lost.incrementAndGet();
              trial.record(id + " ran, and its channel ends without an answer");
            }
            break;
          }
          answered.incrementAndGet();
          if (answer.header("Connection").contains("close")) {
            break;
          }
          Thread.sleep(100);
        }
      } catch (SocketTimeoutException e) {
        // The requester leaves.
      } catch (IOException | InterruptedException e) {
        refused.incrementAndGet();
        pause(200);
      }
    }
  }

  /**
   * Sends a request; returns its answer, or null if the channel ends without one.
   *
   * @throws SocketTimeoutException if there is none half a second after the route's time-out
   */
  private Http.Message ask(Socket socket, BufferedInputStream in, String id) throws IOException {
    socket.setSoTimeout(ROUTE_TIMEOUT_MILLIS);
    try {
      socket.getOutputStream().write(request(id));
      return Http.answer(in);
    } catch (SocketTimeoutException e) {
      overdue.incrementAndGet();
    } catch (IOException e) {
      return null;
    }
    socket.setSoTimeout(ANSWER_SLACK_MILLIS);
    try {
      return Http.answer(in);
    } catch (SocketTimeoutException e) {
      unanswered.incrementAndGet();
      trial.record(id + ": no answer 1.5 s after the request");
      throw e;
    } catch (IOException e) {
      return null;
    }
  }

  private static void pause(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Opens channels that carry one ordinary request each and stay open. */
  private void keepChannels(Trial.Gateway gateway) throws InterruptedException {
    List<Thread> openers = new ArrayList<>();
    for (int i = 0; i < OPENERS; i++) {
      openers.add(
          Server.start(
              "crowd",
              () -> {
                for (int k = 0; k < KEPT_CHANNELS / OPENERS; k++) {
                  keepChannel(gateway);
                }
              }));
    }
    for (Thread opener : openers) {
      opener.join();
    }
  }

  private void keepChannel(Trial.Gateway gateway) {
    try {
      Socket socket = new Socket("127.0.0.1", gateway.callers);
      socket.setSoTimeout(5000);
      crowd.add(socket);
      for (int i = 0; i < 2; i++) {
        socket.getOutputStream().write(request(Trial.newId()));
        Http.answer(new BufferedInputStream(socket.getInputStream(), 1024));
        crowdAnswers.incrementAndGet();
      }
    } catch (IOException e) {
      // The gateway may refuse such a client.
    }
  }

  private void sendLargeBody(Trial.Gateway gateway) {
    try {
      Socket socket = new Socket("127.0.0.1", gateway.callers);
      crowd.add(socket);
      socket.getOutputStream().write(head(Trial.newId(), MAX_BODY_BYTES));
      socket.getOutputStream().write(new byte[MAX_BODY_BYTES - MISSING_BYTES]);
    } catch (IOException e) {
      // The gateway may refuse such a client.
    }
  }

  private String counts() {
    return answered
        + " ordinary answers, "
        + overdue
        + " late at the time-out, "
        + unanswered
        + " of them without an answer 0.5 s later, "
        + lost
        + " lost, "
        + refused
        + " channels refused";
  }

  private void run() throws Exception {
    Store store = new Store();
    for (int i = 0; i < 3; i++) {
      Server server = new Server(this::serve);
      store.put(
          "servers/i-desk-" + i,
          Trial.entry("desk", server.address(), 6, System.currentTimeMillis(), 1));
    }
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"permit\",\"host\":\"jepu9.example\","
            + "\"prefix\":\"/permit/\",\"kind\":\"unsafe\",\"timeout_ms\":"
            + ROUTE_TIMEOUT_MILLIS
            + ",\"target_latency_ms\":400,\"priority\":2,\"service\":\"desk\","
            + "\"max_attempts\":1,\"anonymous\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":96,"
            + "\"protocol\":\"h1\",\"tls\":false}],"
            + Trial.LIMITS);
    Trial.Gateway gateway = trial.gateway("front-a-1", store.address(), 8);
    trial.start(gateway, MEMORY_MB, DESCRIPTORS);
    trial.awaitReady(gateway);
    Thread.sleep(2000);
    for (int i = 0; i < ORDINARY_REQUESTERS; i++) {
      Server.start("ordinary", () -> ordinary(gateway));
    }
    Thread.sleep(5000);
    trial.record("calm: " + counts());
    if (answered.get() < 50) {
      trial.end(Trial.NOT_RUN, "too few answers in calm");
    }
    if (Trial.TROUBLE) {
      keepChannels(gateway);
      trial.record(crowd.size() + " channels are kept, " + crowdAnswers + " answers on them");
      for (int i = 0; i < LARGE_BODIES; i++) {
        Server.start("large", () -> sendLargeBody(gateway));
      }
    }
    Thread.sleep(12_000);
    trial.record("12 s later: " + counts());
    crowd.forEach(KeptChannels::close);
    trial.record("the crowd has left");
    final int answeredBefore = answered.get();
    Thread.sleep(15_000);
    ended = true;
    trial.record("15 s later: " + counts());
    trial.record(
        "the process "
            + (gateway.process.isAlive() ? "is alive" : "has ended with " + exit(gateway))
            + "; ordinary answers since the crowd has left: "
            + (answered.get() - answeredBefore));
    for (String line : Files.readAllLines(gateway.log, StandardCharsets.ISO_8859_1)) {
      if (line.contains("OutOfMemoryError")) {
        trial.record("log: " + line.substring(0, Math.min(160, line.length())));
      }
    }
    // CONFIG, and only if nothing is answered any more: slow answers alone don't count.
    boolean silent =
        answered.get() == answeredBefore
            && overdue.get() >= MIN_OVERDUE
            && unanswered.get() * 2 > overdue.get();
    boolean exited = !gateway.process.isAlive();
    boolean broken = silent || (exited && lost.get() > 3);
    trial.end(
        broken ? Trial.BROKEN : Trial.HELD,
        (exited ? "the gateway has ended; " : silent ? "the gateway hangs; " : "") + counts());
  }

  private static int exit(Trial.Gateway gateway) {
    return gateway.process.exitValue();
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  public static void main(String[] args) throws Exception {
    new KeptChannels(new Trial(args[0])).run();
  }
}
