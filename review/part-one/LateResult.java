import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stage server sends its answer to an earlier call once more, where the next answer on that
 * connection is expected. Checks that each request reaches the model server with the handles that
 * were made for its own pieces.
 */
final class LateResult {
  private static final Pattern ITEM =
      Pattern.compile("\"id\":\"([^\"]+)\",\"stage\":(\\d+),\"piece\":(\\d+)");

  private static final Pattern HANDLE = Pattern.compile("\"(127\\.0\\.0\\.1:[^\"]+)\"");
  private static final String JSON_TYPE = "Content-Type: application/json\r\n";

  /** Requests of the day, and the pause between two of them: near the capacity of the stage. */
  private static final int REQUESTS = 850;

  private static final long REQUEST_GAP_MILLIS = 90;

  /** The disruption: one of two servers, for 5 s in every 6 s, one of 33 answers (0.03). */
  private static final long WINDOW_EVERY_MILLIS = 6000;

  private static final long WINDOW_MILLIS = 5000;
  private static final int ANSWERS_PER_EXTRA = 33;

  private final Rig rig;
  private final Map<String, String> madeFor = new ConcurrentHashMap<>();
  private final AtomicLong nextHandle = new AtomicLong(0x5c1e07a20000L);
  private final AtomicInteger foreign = new AtomicInteger();
  private final AtomicInteger extras = new AtomicInteger();
  private final AtomicInteger calls = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger conflicts = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final Set<String> freed = ConcurrentHashMap.newKeySet();
  private final List<StageServer> stages = new ArrayList<>();

  private LateResult(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    int result = Rig.NOT_RUN;
    try (Rig rig = new Rig(Path.of(args[0]))) {
      result = new LateResult(rig).run();
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(result);
  }

  private int run() throws Exception {
    for (int i = 0; i < 2; i++) {
      StageServer stage = new StageServer(i == 0 && Rig.trouble());
      stages.add(stage);
      rig.store.put("servers/i-stage" + i, entry("encoders", stage.server.address(), 1));
    }
    Rig.Server model = rig.new Server(this::model);
    rig.store.put("servers/i-model", entry("models", model.address(), 128));
    rig.store.put("op/config", config());
    Rig.Gateway gateway = rig.startGateway("front-a-1", "a", "\"a=north\"", rig.store.address());
    if (!rig.awaitReady(gateway)) {
      return Rig.NOT_RUN;
    }
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      Thread client = new Thread(() -> request(gateway));
      client.start();
      clients.add(client);
      Thread.sleep(REQUEST_GAP_MILLIS);
    }
    for (Thread client : clients) {
      client.join();
    }
    rig.log(
        calls + " calls of the stage, " + extras + " answers came a second time; " + served + " of "
            + REQUESTS + " requests served, " + refused + " refused; " + foreign
            + " came to the model server with an input of another request, " + conflicts
            + " with an input that no longer exists");
    if (served.get() < REQUESTS / 2) {
      return Rig.NOT_RUN;
    }
    return foreign.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private static String config() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":\"pule25.example\","
        + "\"prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
        + "\"target_latency_ms\":1900,\"priority\":1,\"service\":\"models\",\"max_attempts\":1,"
        + "\"stages\":[{\"service\":\"encoders\",\"after\":[],\"bytes\":8000}],"
        + "\"anonymous\":true,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":250}],"
        + "\"services\":[{\"name\":\"models\",\"health_path\":\"/health\",\"max_conns\":620,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":128,\"kv_capacity\":444000,"
        + "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"encoders\",\"health_path\":\"/health\","
        + "\"max_conns\":620,\"protocol\":\"h1\",\"tls\":false,\"pieces\":{\"slots\":1,\"queue\":2,"
        + "\"batch\":7,\"call_ms\":150.0,\"item_ms\":18.28,\"headroom_mb\":37,\"handle_ttl_s\":4.0,"
        + "\"link_mbps\":10000}}],\"tenants\":[],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":10000}}";
  }

  private static String entry(String service, String address, int slots) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address
        + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" + slots
        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":4,\"born\":1760000000000}";
  }

  /** A stage server with one slot. A faulty one sends some answers a second time, late. */
  private final class StageServer {
    private final boolean faulty;
    private final Rig.Server server;
    private final Object slot = new Object();
    private int answersSinceExtra;

    private StageServer(boolean faulty) throws IOException {
      this.faulty = faulty;
      server = rig.new Server(this::handle);
    }

    private void handle(Rig.Message call, Rig.Conn connection) throws Exception {
      String where = "stage " + server.address() + " connection " + connection.number + ": ";
      if (call.target().equals("/stage-free")) {
        Matcher handle = HANDLE.matcher(call.text());
        while (handle.find()) {
          freed.add(handle.group(1));
        }
        rig.log(where + "frees " + call.text());
        answer(connection, Rig.answer(200, JSON_TYPE, "{}"), where);
        return;
      }
      if (!call.target().equals("/stage-run")) {
        answer(connection, Rig.answer(404, "X-Oriolewell-Not-Executed: 1\r\n", ""), where);
        return;
      }
      List<String> pieces = new ArrayList<>();
      Matcher item = ITEM.matcher(call.text());
      while (item.find()) {
        pieces.add(item.group(1) + "/" + item.group(2) + "/" + item.group(3));
      }
      rig.log(where + "call " + calls.incrementAndGet() + " for " + pieces);
      synchronized (slot) {
        Thread.sleep(150 + 18L * pieces.size());
      }
      List<String> items = new ArrayList<>();
      for (String piece : pieces) {
        String handle = server.address() + "/" + Long.toHexString(nextHandle.incrementAndGet());
        madeFor.put(handle, piece);
        items.add("{\"handle\":\"" + handle + "\"}");
      }
      String body = "{\"items\":[" + String.join(",", items) + "]}";
      byte[] bytes = Rig.answer(200, JSON_TYPE + "X-Oriolewell-Server-Load: 0,0,1\r\n", body);
      rig.log(where + "answers " + items);
      answer(connection, bytes, where);
      if (extraDue()) {
        connection.state.put("again", bytes);
      }
    }

    /** Sends an answer, after the one before if that is to come a second time. */
    private void answer(Rig.Conn connection, byte[] bytes, String where) throws IOException {
      Object again = connection.state.remove("again");
      if (again != null) {
        extras.incrementAndGet();
        rig.log(where + "sends its answer before this one a second time");
        connection.write((byte[]) again);
      }
      connection.write(bytes);
    }

    private synchronized boolean extraDue() {
      answersSinceExtra++;
      boolean inWindow = rig.millis() % WINDOW_EVERY_MILLIS < WINDOW_MILLIS;
      if (!faulty || !inWindow || answersSinceExtra < ANSWERS_PER_EXTRA) {
        return false;
      }
      answersSinceExtra = 0;
      return true;
    }
  }

  /** A model server that fetches the inputs, reads the prompt and sends six events. */
  private void model(Rig.Message request, Rig.Conn connection) throws Exception {
    String id = request.header("X-Oriolewell-Attempt-Id");
    List<String> handles = Arrays.asList(request.header("X-Oriolewell-Inputs").split(","));
    boolean gone = false;
    for (String handle : handles) {
      String piece = madeFor.get(handle);
      boolean own = piece != null && piece.startsWith(id + "/");
      rig.log(
          "model: request " + id + " comes with the input " + handle + ", made for " + piece
              + (own ? "" : ": THE INPUT OF ANOTHER REQUEST"));
      if (!own) {
        foreign.incrementAndGet();
      }
      gone |= freed.contains(handle);
    }
    if (gone) {
      conflicts.incrementAndGet();
      rig.log("model: request " + id + " gets 409, its input no longer exists");
      connection.write(
          Rig.answer(
              409,
              "X-Oriolewell-Attempt-Id: " + id + "\r\nX-Oriolewell-Not-Executed: 1\r\n",
              ""));
      return;
    }
    Thread.sleep(120);
    connection.write(
        ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "X-Oriolewell-Attempt-Id: " + id + "\r\nX-Oriolewell-Server-Seal: seal-" + id
                + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
    for (int i = 1; i <= 6; i++) {
      String event = "id: " + i + "\ndata: " + id + "\n\n";
      connection.write(
          (Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.UTF_8));
      Thread.sleep(20);
    }
    connection.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
  }

  private void request(Rig.Gateway gateway) {
    String id = Rig.newId();
    try (Socket socket = Rig.open(gateway.callers)) {
      socket.setSoTimeout(9000);
      String body = "prompt of " + id;
      rig.log("client: request " + id);
      socket.getOutputStream().write(
          ("POST /chat/1 HTTP/1.1\r\nHost: pule25.example\r\nX-Oriolewell-Attempt-Id: " + id
                  + "\r\nX-Oriolewell-Model: m\r\nX-Oriolewell-Token-Count: 460,80\r\n"
                  + "X-Oriolewell-Prompt-Prefix: 5c1e07a2:400," + id.substring(8) + ":60\r\n"
                  + "X-Oriolewell-Pieces: 1\r\nX-Oriolewell-Piece-Key: 7c1e07a291bd\r\n"
                  + "X-Oriolewell-Request-Deadline: 8000\r\nContent-Length: " + body.length()
                  + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8));
      InputStream in = socket.getInputStream();
      Rig.Message answer = Rig.read(in);
      rig.log("client: request " + id + " gets " + answer.status());
      (answer.status() == 200 ? served : refused).incrementAndGet();
    } catch (IOException e) {
      rig.log("client: request " + id + " gets no whole answer: " + e);
    }
  }
}
