import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Requests omit the first stage of a route, and have pieces of the second one, which follows it.
 * Checks the pieces that the stage server is asked for: their key, or their inputs.
 */
final class OmittedStage {
  private static final int REQUESTS = 40;
  private static final String JSON_TYPE = "Content-Type: application/json\r\n";

  private static final Pattern ITEM =
      Pattern.compile(
          "\\{\"id\":\"([^\"]+)\",\"stage\":(\\d+),\"piece\":(\\d+),\"remaining_ms\":\\d+,"
              + "(?:\"key\":\"([^\"]*)\"|\"inputs\":\\[([^\\]]*)\\])\\}");

  private final Rig rig;
  private final AtomicLong nextHandle = new AtomicLong(0x5c1e07a20000L);
  private final AtomicInteger wrongKeys = new AtomicInteger();
  private final AtomicInteger withoutInputs = new AtomicInteger();
  private final AtomicInteger items = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private Rig.Server stage;

  private OmittedStage(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    int result = Rig.NOT_RUN;
    try (Rig rig = new Rig(Path.of(args[0]))) {
      result = new OmittedStage(rig).run();
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(result);
  }

  private int run() throws Exception {
    stage = rig.new Server(this::stage);
    Rig.Server model = rig.new Server(this::model);
    rig.store.put("servers/i-stage", entry("encoders", stage.address(), 1));
    rig.store.put("servers/i-model", entry("models", model.address(), 128));
    rig.store.put("op/config", config());
    Rig.Gateway gateway = rig.startGateway("front-a-1", "a", "\"a=north\"", rig.store.address());
    if (!rig.awaitReady(gateway)) {
      return Rig.NOT_RUN;
    }
    for (int i = 0; i < REQUESTS; i++) {
      request(gateway);
    }
    rig.log(
        items + " pieces asked for, " + wrongKeys + " with another key than the requester's, "
            + withoutInputs + " of a stage with 'after' and without inputs; " + served + " of "
            + REQUESTS + " requests answered with 200");
    if (items.get() == 0 && served.get() == 0) {
      return Rig.NOT_RUN;
    }
    return wrongKeys.get() > 0 || withoutInputs.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private static String config() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\"host\":\"pule25.example\","
        + "\"prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
        + "\"target_latency_ms\":1900,\"priority\":1,\"service\":\"models\",\"max_attempts\":1,"
        + "\"stages\":[{\"service\":\"encoders\",\"after\":[],\"bytes\":8000},"
        + "{\"service\":\"encoders\",\"after\":[0],\"bytes\":6000}],"
        + "\"anonymous\":true,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":250}],"
        + "\"services\":[{\"name\":\"models\",\"health_path\":\"/health\",\"max_conns\":620,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":128,\"kv_capacity\":444000,"
        + "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"encoders\",\"health_path\":\"/health\","
        + "\"max_conns\":620,\"protocol\":\"h1\",\"tls\":false,\"pieces\":{\"slots\":1,\"queue\":2,"
        + "\"batch\":7,\"call_ms\":50.0,\"item_ms\":18.28,\"headroom_mb\":37,\"handle_ttl_s\":4.0,"
        + "\"link_mbps\":10000}}],\"tenants\":[],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":10000}}";
  }

  private static String entry(String service, String address, int slots) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address
        + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" + slots
        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":4,\"born\":1760000000000}";
  }

  private static String pieceKey(String id) {
    return "7c1e" + id.substring(8);
  }

  /** A stage server with one slot, which works on whatever it is given. */
  private synchronized void stage(Rig.Message call, Rig.Conn connection) throws Exception {
    if (!call.target().equals("/stage-run")) {
      connection.write(Rig.answer(200, JSON_TYPE, "{}"));
      return;
    }
    rig.log("stage: is asked for " + call.text());
    List<String> results = new ArrayList<>();
    Matcher item = ITEM.matcher(call.text());
    while (item.find()) {
      items.incrementAndGet();
      String key = item.group(4);
      if (key != null && !key.equals(pieceKey(item.group(1)))) {
        wrongKeys.incrementAndGet();
        rig.log("stage: the key of " + item.group(1) + " is " + pieceKey(item.group(1)) + ", THE KEY HERE IS '" + key + "'");
      }
      if (!item.group(2).equals("0") && (item.group(5) == null || item.group(5).isEmpty())) {
        withoutInputs.incrementAndGet();
      }
      results.add(
          "{\"handle\":\"" + stage.address() + "/" + Long.toHexString(nextHandle.incrementAndGet()) + "\"}");
    }
    Thread.sleep(50 + 18L * results.size());
    connection.write(
        Rig.answer(
            200,
            JSON_TYPE + "X-Oriolewell-Server-Load: 0,0,1\r\n",
            "{\"items\":[" + String.join(",", results) + "]}"));
  }

  private void model(Rig.Message request, Rig.Conn connection) throws Exception {
    String id = request.header("X-Oriolewell-Attempt-Id");
    rig.log("model: runs request " + id + " with the inputs " + request.header("X-Oriolewell-Inputs"));
    String event = "id: 1\ndata: " + id + "\n\n";
    connection.write(
        ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "X-Oriolewell-Attempt-Id: " + id + "\r\nX-Oriolewell-Server-Seal: seal-" + id
                + "\r\n\r\n" + Integer.toHexString(event.length()) + "\r\n" + event
                + "\r\n0\r\n\r\n").getBytes(StandardCharsets.UTF_8));
  }

  private void request(Rig.Gateway gateway) {
    String id = Rig.newId();
    String pieces = Rig.trouble() ? "0,1" : "1,1";
    try (Socket socket = Rig.open(gateway.callers)) {
      socket.setSoTimeout(9000);
      rig.log("client: request " + id + " with the pieces " + pieces + " and the key " + pieceKey(id));
      socket.getOutputStream().write(
          ("POST /draft/1 HTTP/1.1\r\nHost: pule25.example\r\nX-Oriolewell-Attempt-Id: " + id
                  + "\r\nX-Oriolewell-Model: m\r\nX-Oriolewell-Token-Count: 460,80\r\n"
                  + "X-Oriolewell-Prompt-Prefix: 5c1e07a2:400," + id.substring(8) + ":60\r\n"
                  + "X-Oriolewell-Pieces: " + pieces + "\r\nX-Oriolewell-Piece-Key: "
                  + pieceKey(id) + "\r\nX-Oriolewell-Request-Deadline: 8000\r\n"
                  + "Content-Length: 6\r\n\r\nprompt").getBytes(StandardCharsets.UTF_8));
      Rig.Message answer = Rig.read(socket.getInputStream());
      rig.log("client: request " + id + " gets " + answer.status());
      if (answer.status() == 200) {
        served.incrementAndGet();
      }
    } catch (IOException e) {
      rig.log("client: request " + id + " gets no whole answer: " + e);
    }
  }
}
