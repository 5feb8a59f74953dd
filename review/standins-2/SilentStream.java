import java.io.OutputStream;
import java.net.Socket;
import java.util.List;

/**
 * A model server preempts a stream for some seconds, as it may, while its gateway is being stopped.
 * The stream may be resumed and has a stage before it.
 */
final class SilentStream {
  private static final int EVENTS = 6;
  private static final int EVENT_MILLIS = 100;
  private static final int PREEMPTED_MILLIS = 2600;
  private static final int GRACE_MILLIS = 8000;

  private final Deployment deployment;
  private final Stage stage;

  private SilentStream(Deployment deployment) {
    this.deployment = deployment;
    this.stage = new Stage(deployment, "i-roster1", 150);
  }

  public static void main(String[] args) throws Exception {
    Deployment.run(args[0], deployment -> new SilentStream(deployment).run());
  }

  /** Streams the events; the run that begins at the first event is preempted after the second. */
  private boolean generate(String id, Server.Request request, OutputStream out) throws Exception {
    String attempt = "X-Oriolewell-Attempt-Id: " + request.id() + "\r\n";
    String inputs = request.head().header("X-Oriolewell-Inputs");
    String last = request.head().header("Last-Event-Id");
    String asked = request.id() + (last == null ? "" : " from event " + last + " on");
    if (inputs == null || inputs.isEmpty()) {
      deployment.record(id + " refuses " + asked + " with 400: it has no inputs");
      Server.write(out, Server.answer(400, attempt + "X-Oriolewell-Not-Executed: 1\r\n", ""));
      return true;
    }
    for (String handle : inputs.split(",")) {
      if (!stage.keeps(handle)) {
        deployment.record(id + " refuses " + asked + " with 409: input " + handle + " is gone");
        Server.write(out, Server.answer(409, attempt + "X-Oriolewell-Not-Executed: 1\r\n", ""));
        return true;
      }
    }
    deployment.record(id + " runs " + asked);
    int sent = last == null ? 0 : Integer.parseInt(last);
    try {
      Server.write(
          out,
          "HTTP/1.1 200 OK\r\n" + attempt + "X-Oriolewell-Server-Seal: seal-" + id
              + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      while (sent < EVENTS) {
        Deployment.pause(EVENT_MILLIS);
        if (last == null && sent == 2) {
          deployment.record(id + " preempts " + request.id() + " for " + PREEMPTED_MILLIS + " ms");
          Deployment.pause(PREEMPTED_MILLIS);
          deployment.record(id + " goes on with " + request.id());
        }
        sent++;
        Server.write(out, Server.chunk("id: " + sent + "\ndata: event " + sent + "\n\n"));
      }
      Server.write(out, "0\r\n\r\n");
      deployment.record(id + " ends " + asked + ", all events sent");
      return true;
    } catch (java.io.IOException e) {
      deployment.record(id + " can't go on with " + asked + ": the gateway has closed its channel");
      return false;
    }
  }

  private Server engine(String id) throws Exception {
    Server engine =
        new Server((request, channel, out) -> generate(id, request, out));
    deployment.register(id, "oriole-pool", engine.address(), "caerdydd-a", 128);
    return engine;
  }

  private boolean run() throws Exception {
    Server roster = new Server(stage);
    stage.address(roster.address());
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
    deployment.register("i-roster1", "crew-roster", roster.address(), "caerdydd-a", 1);
    engine("i-engine1");
    engine("i-engine2");
    Deployment.Gateway gateway = deployment.startGateways();
    try (Requester requester = new Requester(gateway.callersPort)) {
      long sentAt = System.nanoTime();
      requester.send(
          "POST",
          "/defect-summary/d",
          Deployment.AUTHORIZATION + "X-Oriolewell-Attempt-Id: a1\r\nX-Oriolewell-Model: m\r\n"
              + "X-Oriolewell-Token-Count: 2368,24\r\nX-Oriolewell-Pieces: 1\r\n"
              + "X-Oriolewell-Piece-Key: 7c1e07a291bd\r\nX-Oriolewell-Prompt-Prefix:"
              + " 5c1e07a2:341,91bd3f06:227,e4402b7d:1800\r\n"
              + "X-Oriolewell-Request-Deadline: 6000\r\n",
          "summary");
      deployment.record("a1 (defect-summary, resumable, deadline 6 s) sent");
      Deployment.pause(1000);
      if (Deployment.trouble()) {
        Deployment.signal("TERM", gateway.process);
        deployment.record("SIGTERM sent to " + gateway.name + "; grace_s is 8");
      }
      Requester.Answer answer = requester.read();
      long millis = (System.nanoTime() - sentAt) / 1_000_000;
      int events = answer.body().split("data: ", -1).length - 1;
      deployment.record(
          "a1 answered: " + answer.status() + ", whole: " + answer.whole() + ", " + events
              + " of " + EVENTS + " events, " + millis + " ms after it was sent");
      Deployment.pause(1500);
      return Deployment.trouble()
          && answer.status() == 200
          && !answer.whole()
          && millis < 6000
          && millis < GRACE_MILLIS * 5 / 6;
    }
  }
}
