import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Requests leave out the second of three stages in a chain. Checks the pieces that the stage servers
 * are asked for: each has the key of its requester, or the results of the stages that it follows.
 */
final class SkippedStage {
  private static final int REQUESTS = 6;
  private static final int CALL_MILLIS = 150;
  private static final List<String> SERVICES =
      List.of("crew-roster", "span-register", "photo-store");

  private static final Pattern ITEM =
      Pattern.compile(
          "\\{\"id\":\"([^\"]*)\",\"stage\":(\\d+),\"piece\":(\\d+),\"remaining_ms\":\\d+"
              + "(?:,\"key\":\"([^\"]*)\")?(?:,\"inputs\":\\[([^\\]]*)\\])?\\}");

  private final Deployment deployment;
  private final Map<String, String> textByHandle = new ConcurrentHashMap<>();
  private int handles;
  private int wrongKeys;

  private SkippedStage(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] args) throws Exception {
    Deployment.run(args[0], deployment -> new SkippedStage(deployment).run());
  }

  private static String key(String id) {
    return "7c1e" + id;
  }

  /** Makes a piece from its inputs, or else from its key, and returns the handle of its result. */
  private synchronized String make(String service, Matcher item) {
    String id = item.group(1);
    String piece = "piece " + item.group(3) + " of stage " + item.group(2) + " of " + id;
    String source;
    if (item.group(5) != null) {
      List<String> texts = new ArrayList<>();
      for (String handle : item.group(5).replace("\"", "").split(",")) {
        texts.add(textByHandle.getOrDefault(handle, "nothing"));
      }
      source = String.join("+", texts);
      deployment.record(service + " is asked for " + piece + " with " + texts.size() + " inputs");
    } else {
      source = "'" + item.group(4) + "'";
      boolean right = key(id).equals(item.group(4));
      wrongKeys += right ? 0 : 1;
      deployment.record(
          service + " is asked for " + piece + " with the key " + source
              + (right ? "" : "; the requester's key is '" + key(id) + "'"));
    }
    String handle = "127.0.0.1:9/" + Integer.toHexString(0x91bd30 + ++handles);
    textByHandle.put(handle, service + "(" + source + ")");
    return handle;
  }

  private boolean stage(String service, Server.Request request, OutputStream out)
      throws Exception {
    List<String> items = new ArrayList<>();
    if (request.target().equals("/stage-run")) {
      Deployment.pause(CALL_MILLIS);
      Matcher item = ITEM.matcher(request.body());
      while (item.find()) {
        items.add("{\"handle\":\"" + make(service, item) + "\"}");
      }
    }
    Server.write(
        out,
        Server.answer(
            200,
            "Content-Type: application/json\r\nX-Oriolewell-Server-Load: 0,0,1\r\n",
            "{\"items\":[" + String.join(",", items) + "]}"));
    return true;
  }

  /** A model server: its answer names what its inputs were made from. */
  private boolean generate(Server.Request request, OutputStream out) throws Exception {
    String attempt = "X-Oriolewell-Attempt-Id: " + request.id() + "\r\n";
    String inputs = request.head().header("X-Oriolewell-Inputs");
    if (inputs == null) {
      deployment.record("i-engine1 refuses " + request.id() + " with 400: it has no inputs");
      Server.write(out, Server.answer(400, attempt + "X-Oriolewell-Not-Executed: 1\r\n", ""));
      return true;
    }
    List<String> texts = new ArrayList<>();
    for (String handle : inputs.split(",")) {
      texts.add(textByHandle.getOrDefault(handle, "nothing"));
    }
    deployment.record("i-engine1 runs " + request.id());
    Server.write(
        out,
        "HTTP/1.1 200 OK\r\n" + attempt + "X-Oriolewell-Server-Seal: seal-" + request.id()
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            + Server.chunk("id: 1\ndata: " + String.join(" ", texts) + "\n\n")
            + "0\r\n\r\n");
    return true;
  }

  private boolean run() throws Exception {
    List<String> services = new ArrayList<>(List.of("{\"name\":\"oriole-pool\",\"engine\":{}}"));
    List<String> stages = new ArrayList<>();
    for (int i = 0; i < SERVICES.size(); i++) {
      String service = SERVICES.get(i);
      Server server = new Server((request, channel, out) -> stage(service, request, out));
      deployment.register("i-stage" + i, service, server.address(), "caerdydd-a", 1);
      services.add(
          "{\"name\":\"" + service + "\",\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":7,"
              + "\"call_ms\":150,\"item_ms\":4.6,\"headroom_mb\":4.8,\"handle_ttl_s\":4,"
              + "\"link_mbps\":10000}}");
      stages.add(
          "{\"service\":\"" + service + "\",\"after\":[" + (i == 0 ? "" : i - 1)
              + "],\"bytes\":8000}");
    }
    Server engine = new Server((request, channel, out) -> generate(request, out));
    deployment.register("i-engine1", "oriole-pool", engine.address(), "caerdydd-a", 128);
    deployment.manifest(
        1,
        List.of(
            Deployment.route(
                "defect-summary", "streaming", "oriole-pool", 6000, 1700,
                ",\"max_attempts\":2,\"resumable\":true,\"target_gap_ms\":250,\"sticky\":true,"
                    + "\"stages\":[" + String.join(",", stages) + "]")),
        services);
    Deployment.Gateway gateway = deployment.startGateways();
    String pieces = Deployment.trouble() ? "1,0,2" : "1,1,2";
    int answered = 0;
    for (int i = 1; i <= REQUESTS; i++) {
      String id = "a" + i;
      try (Requester requester = new Requester(gateway.callersPort)) {
        deployment.record(
            id + " sent with X-Oriolewell-Pieces: " + pieces + " and X-Oriolewell-Piece-Key: "
                + key(id));
        Requester.Answer answer =
            requester.request(
                "POST",
                "/defect-summary/d",
                Deployment.AUTHORIZATION + "X-Oriolewell-Attempt-Id: " + id
                    + "\r\nX-Oriolewell-Request-Deadline: 6000\r\nX-Oriolewell-Model: m\r\n"
                    + "X-Oriolewell-Token-Count: 100,24\r\nX-Oriolewell-Pieces: " + pieces
                    + "\r\nX-Oriolewell-Piece-Key: " + key(id)
                    + "\r\nX-Oriolewell-Prompt-Prefix: 5c1e07a2:50,91bd3f0" + i + ":50\r\n",
                "summary");
        answered += answer.status() == 200 ? 1 : 0;
        deployment.record(
            id + " answered: " + answer.status() + " " + answer.body().replace("\n", " "));
      }
    }
    deployment.record(
        wrongKeys + " pieces were asked for with another key than the requester's; " + answered
            + " of " + REQUESTS + " requests answered with 200");
    if (handles == 0) {
      throw new Deployment.NotRun("no piece was asked for");
    }
    return wrongKeys > 0;
  }
}
