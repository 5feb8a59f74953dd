import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server of a stage is cut off from the store until its entry is removed, comes back, and sends
 * its last answer a second time when the next call arrives.
 */
final class RepeatedResult {
  private static final int HEARTBEAT_MILLIS = 1200;

  /** Calls before the one whose answer is sent twice, which so is less than 3 in 100 of them. */
  private static final int WARM_UP_CALLS = 40;

  private final Deployment deployment;
  private final Stage stage;

  /** Inputs with which model servers ran requests, by request. */
  private final Map<String, String> inputs = new ConcurrentHashMap<>();

  private RepeatedResult(Deployment deployment) {
    this.deployment = deployment;
    this.stage = new Stage(deployment, "i-roster1", 170);
  }

  public static void main(String[] args) throws Exception {
    Deployment deployment = new Deployment(Path.of(args[0]));
    deployment.limit(Duration.ofSeconds(100));
    try {
      deployment.end(new RepeatedResult(deployment).run() ? 1 : 0);
    } catch (Deployment.NotRun e) {
      deployment.record(e.getMessage());
      deployment.end(2);
    }
  }

  private static boolean warmUp(String id) {
    return id.startsWith("e");
  }

  private boolean generate(Server.Request request, OutputStream out) throws Exception {
    String attempt = "X-Oriolewell-Attempt-Id: " + request.id() + "\r\n";
    String handles = request.head().header("X-Oriolewell-Inputs");
    if (handles == null || !stage.keeps(handles)) {
      deployment.record("i-engine1 refuses " + request.id() + " with 409: no input " + handles);
      Server.write(out, Server.answer(409, attempt + "X-Oriolewell-Not-Executed: 1\r\n", ""));
      return true;
    }
    inputs.put(request.id(), handles);
    deployment.record("i-engine1 runs " + request.id() + " with the input " + handles);
    Deployment.pause(warmUp(request.id()) ? 20 : 2200);
    Server.write(
        out,
        "HTTP/1.1 200 OK\r\n" + attempt + "X-Oriolewell-Server-Seal: seal\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= 6; event++) {
      Server.write(out, Server.chunk("id: " + event + "\ndata: event\n\n"));
      Deployment.pause(warmUp(request.id()) ? 2 : 50);
    }
    Server.write(out, "0\r\n\r\n");
    return true;
  }

  private Requester send(int port, String id) throws Exception {
    Requester requester = new Requester(port);
    requester.send(
        "POST",
        "/defect-summary/d",
        Deployment.AUTHORIZATION + "X-Oriolewell-Attempt-Id: " + id
            + "\r\nX-Oriolewell-Model: m\r\nX-Oriolewell-Token-Count: 2368,24\r\n"
            + "X-Oriolewell-Pieces: 1\r\nX-Oriolewell-Piece-Key: key-of-" + id
            + "\r\nX-Oriolewell-Prompt-Prefix: 5c1e07a2:341,91bd3f06:227," + id + ":1800\r\n"
            + "X-Oriolewell-Request-Deadline: 6000\r\n",
        "summary");
    deployment.record(id + " (defect-summary, one piece) sent");
    return requester;
  }

  private boolean run() throws Exception {
    Server roster = new Server((request, channel, out) -> stage.answer(request, channel, out));
    stage.address(roster.address());
    Server engine = new Server((request, channel, out) -> generate(request, out));
    deployment.manifest(
        1,
        List.of(
            Deployment.route(
                "defect-summary", "streaming", "oriole-pool", 6000, 1700,
                ",\"max_attempts\":2,\"resumable\":true,\"target_gap_ms\":250,\"sticky\":true,"
                    + "\"stages\":[{\"service\":\"crew-roster\",\"after\":[],\"bytes\":8000}]")),
        List.of(
            "{\"name\":\"oriole-pool\",\"engine\":{}}",
            "{\"name\":\"crew-roster\",\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":7,"
                + "\"call_ms\":150,\"item_ms\":18.3,\"headroom_mb\":37.6,\"handle_ttl_s\":4,"
                + "\"link_mbps\":10000}}"));
    deployment.register("i-engine1", "oriole-pool", engine.address(), "caerdydd-a", 128);
    deployment.register("i-roster1", "crew-roster", roster.address(), "caerdydd-a", 1);
    for (int i = 2; i <= 5; i++) {
      // One of five servers is cut off; these are in a region without model servers.
      Server other = new Server((request, channel, out) -> false);
      deployment.register("i-roster" + i, "crew-roster", other.address(), "bangor-a", 1);
    }
    Deployment.Gateway gateway = deployment.startGateways();
    for (int i = 1; i <= WARM_UP_CALLS; i++) {
      try (Requester requester = send(gateway.callersPort, "e" + i)) {
        Requester.Answer answer = requester.read();
        if (answer.status() != 200 || !answer.whole()) {
          throw new Deployment.NotRun("a request of the warm-up got " + answer.status());
        }
      }
    }
    deployment.record(WARM_UP_CALLS + " requests before were answered");
    if (Deployment.trouble()) {
      deployment.heal("i-roster1");
      deployment.cut("i-roster1");
      deployment.record("i-roster1 is cut off from the store");
    }
    Deployment.pause(3 * HEARTBEAT_MILLIS - 700);
    try (Requester first = send(gateway.callersPort, "a1")) {
      Deployment.pause(700);
      if (Deployment.trouble()) {
        deployment.expire("i-roster1");
        deployment.record("the store removes the entry of i-roster1 after three heartbeats");
      }
      Deployment.pause(600);
      if (Deployment.trouble()) {
        stage.repeatAnswers();
        deployment.heal("i-roster1");
        deployment.record("the cut ends, i-roster1 writes its entry again");
      }
      Deployment.pause(500);
      try (Requester second = send(gateway.callersPort, "b2")) {
        Requester.Answer firstAnswer = first.read();
        deployment.record("a1 answered: " + firstAnswer.status() + ", " + firstAnswer.whole());
        Requester.Answer secondAnswer = second.read();
        deployment.record("b2 answered: " + secondAnswer.status() + ", " + secondAnswer.whole());
      }
    }
    String firstInput = inputs.get("a1");
    String secondInput = inputs.get("b2");
    deployment.record("input of a1: " + firstInput + ", input of b2: " + secondInput);
    if (firstInput == null) {
      throw new Deployment.NotRun("a1 did not run");
    }
    return firstInput.equals(secondInput);
  }
}
