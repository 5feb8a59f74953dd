import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stage server sends one of its answers again, late, where its next answer on that connection is
 * expected. The check: no request reaches the model server with results of another request.
 */
final class LateStageAnswer {
  /** Pieces of each request, and most pieces of a call: each call has the pieces of one request. */
  private static final int PIECES = 7;

  private static final int CALL_MILLIS = 150;
  private static final int ITEM_MILLIS = 18;

  /** Time of the whole run: four windows of 5 s in which answers are sent again. */
  private static final int RUN_MILLIS = 20_000;

  /** One answer of this many of the faulty server is sent again; the largest dose is 3 in 100. */
  private static final int ANSWERS_PER_REPEAT = 34;

  private static final Pattern ITEM =
      Pattern.compile("\"id\":\"([0-9a-f]+)\",\"stage\":(\\d+),\"piece\":(\\d+)");
  private static final Pattern HANDLE = Pattern.compile("127[.]0[.]0[.]1:\\d+/[0-9a-f]+");

  private final Trial trial;

  /** Request for which each result was made. */
  private final Map<String, String> requestByHandle = new ConcurrentHashMap<>();

  private final Map<String, Boolean> freed = new ConcurrentHashMap<>();
  private final AtomicInteger stageAnswers = new AtomicInteger();
  private final AtomicInteger repeats = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();
  private final AtomicInteger ran = new AtomicInteger();

  private LateStageAnswer(Trial trial) {
    this.trial = trial;
  }

  /** A server of the stage that works on one call at a time. */
  private final class Stage {
    private final boolean faulty;
    private Server server;
    private int answers;

    Stage(boolean faulty) throws IOException {
      this.faulty = faulty;
      this.server = new Server(this::handle);
    }

    private void handle(Http.Message request, Server.Connection connection) throws Exception {
      if (request.target().equals("/stage-free")) {
        Matcher handles = HANDLE.matcher(request.text());
        while (handles.find()) {
          freed.put(handles.group(), true);
        }
        connection.write(Http.bytes("200 OK", "Content-Type: application/json\r\n", "{}"));
        return;
      }
      byte[] answer;
      synchronized (this) {
        answer = run(request);
      }
      byte[] repeated = (byte[]) connection.note;
      connection.note = null;
      if (repeated != null) {
        repeats.incrementAndGet();
        trial.record("stage " + server.address() + ": an earlier answer is sent again");
        connection.write(repeated);
      }
      connection.write(answer);
      if (faulty) {
        answers++;
        stageAnswers.incrementAndGet();
        if (Trial.TROUBLE && answers % ANSWERS_PER_REPEAT == ANSWERS_PER_REPEAT / 2) {
          connection.note = answer;
        }
      }
    }

    private byte[] run(Http.Message request) throws InterruptedException {
      List<String> items = new ArrayList<>();
      Matcher matcher = ITEM.matcher(request.text());
      while (matcher.find()) {
        String handle = server.address() + "/" + Trial.newId();
        requestByHandle.put(handle, matcher.group(1));
        items.add("{\"handle\":\"" + handle + "\"}");
        trial.record(
            "stage made " + handle + " for " + matcher.group(1) + " piece " + matcher.group(3));
      }
      Thread.sleep(CALL_MILLIS + ITEM_MILLIS * items.size());
      return Http.bytes(
          "200 OK",
          "Content-Type: application/json\r\nX-Oriolewell-Server-Load: 0,0,1\r\n",
          "{\"items\":[" + String.join(",", items) + "]}");
    }
  }

  /** The model server: refuses a request whose inputs are gone, else streams three events. */
  private void model(Http.Message request, Server.Connection connection) throws Exception {
    String id = request.header("X-Oriolewell-Attempt-Id");
    boolean gone = false;
    List<String> strangers = new ArrayList<>();
    Matcher handles = HANDLE.matcher(request.header("X-Oriolewell-Inputs"));
    while (handles.find()) {
      gone |= freed.containsKey(handles.group());
      String owner = requestByHandle.get(handles.group());
      if (!id.equals(owner)) {
        strangers.add(handles.group() + " of " + owner);
      }
    }
    if (!strangers.isEmpty()) {
      foreign.incrementAndGet();
      trial.record("model server: " + id + " was sent with results of others: " + strangers);
    }
    String headers = "X-Oriolewell-Attempt-Id: " + id + "\r\n";
    if (gone) {
      connection.write(
          Http.bytes("409 Conflict", headers + "X-Oriolewell-Not-Executed: 1\r\n", ""));
      return;
    }
    ran.incrementAndGet();
    Thread.sleep(110);
    StringBuilder events = new StringBuilder();
    for (int i = 1; i <= 3; i++) {
      events.append("id: ").append(i).append("\ndata: ").append(id).append("\n\n");
    }
    connection.write(
        Http.bytes(
            "200 OK",
            headers
                + "Content-Type: text/event-stream\r\nX-Oriolewell-Server-Seal: "
                + Trial.seal()
                + "\r\n",
            events.toString()));
  }

  private void callers(Trial.Gateway gateway) throws Exception {
    List<Thread> threads = new ArrayList<>();
    long endsAt = System.nanoTime() + RUN_MILLIS * 1_000_000L;
    for (int i = 0; i < 5; i++) {
      threads.add(
          Server.start(
              "caller",
              () -> {
                while (System.nanoTime() - endsAt < 0) {
                  callOnce(gateway);
                }
              }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void callOnce(Trial.Gateway gateway) {
    String id = Trial.newId();
    String head =
        "POST /survey/a HTTP/1.1\r\nHost: pule25.example\r\nX-Oriolewell-Attempt-Id: "
            + id
            + "\r\nX-Oriolewell-Model: m\r\nX-Oriolewell-Token-Count: 1460,80\r\n"
            + "X-Oriolewell-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,"
            + id.substring(0, 8)
            + ":250\r\nX-Oriolewell-Pieces: "
            + PIECES
            + "\r\nX-Oriolewell-Piece-Key: "
            + id.substring(4)
            + "\r\nX-Oriolewell-Request-Deadline: 6000\r\nAuthorization: Bearer "
            + Trial.KEY
            + "\r\nContent-Length: 5\r\n\r\n";
    trial.record("caller sends " + id);
    try {
      Http.Message answer = Trial.call(gateway.callers, head, "hello", 10_000);
      trial.record(
          "caller " + id + " gets " + (answer == null ? "no answer" : answer.firstLine));
    } catch (IOException e) {
      trial.record("caller " + id + " gets no answer: " + e);
    }
  }

  private void run() throws Exception {
    Store store = new Store();
    Stage sound = new Stage(false);
    Stage faulty = new Stage(true);
    Server model = new Server(this::model);
    long born = System.currentTimeMillis();
    store.put("servers/i-model", Trial.entry("pool", model.address(), 128, born, 1));
    store.put("servers/i-stage-1", Trial.entry("roster", sound.server.address(), 1, born, 1));
    store.put("servers/i-stage-2", Trial.entry("roster", faulty.server.address(), 1, born, 1));
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"survey\",\"host\":\"pule25.example\","
            + "\"prefix\":\"/survey/\",\"kind\":\"streaming\",\"timeout_ms\":6000,"
            + "\"target_latency_ms\":1300,\"priority\":1,\"service\":\"pool\","
            + "\"max_attempts\":1,\"stages\":[{\"service\":\"roster\",\"after\":[],"
            + "\"bytes\":8000}],\"anonymous\":false,\"sticky\":true,\"resumable\":false,"
            + "\"target_gap_ms\":250}],\"services\":[{\"name\":\"pool\","
            + "\"health_path\":\"/health\",\"max_conns\":610,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":128,\"kv_capacity\":444000}},{\"name\":\"roster\","
            + "\"health_path\":\"/health\",\"max_conns\":610,\"protocol\":\"h1\",\"tls\":false,"
            + "\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":"
            + PIECES
            + ",\"call_ms\":"
            + CALL_MILLIS
            + ",\"item_ms\":"
            + ITEM_MILLIS
            + ",\"headroom_mb\":37.6,\"handle_ttl_s\":4.0,\"link_mbps\":10000}}],"
            + Trial.LIMITS);
    Trial.Gateway gateway = trial.gateway("front-a-1", store.address(), 8);
    trial.start(gateway);
    trial.awaitReady(gateway);
    Thread.sleep(1000);
    callers(gateway);
    trial.record(
        repeats
            + " of "
            + stageAnswers
            + " answers of the faulty server were sent again; "
            + ran
            + " requests ran");
    if (ran.get() < 10 || (Trial.TROUBLE && repeats.get() == 0)) {
      trial.end(Trial.NOT_RUN, "too few requests ran, or no answer was sent again");
    }
    trial.end(
        foreign.get() > 0 ? Trial.BROKEN : Trial.HELD,
        foreign + " requests reached the model server with results of another request");
  }

  public static void main(String[] args) throws Exception {
    new LateStageAnswer(new Trial(args[0])).run();
  }
}
