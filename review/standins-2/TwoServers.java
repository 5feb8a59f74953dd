import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A model server preempts a stream for some seconds and goes on with it until it finds its channel
 * closed. The gateway has sent the request to another server meanwhile.
 */
final class TwoServers {
  private static final int EVENTS = 20;
  private static final int EVENT_MILLIS = 100;
  private static final int PREEMPTED_MILLIS = 2600;

  private final Deployment deployment;

  /** Time at which the server that began the request made its latest event. */
  private final AtomicLong lastOfFirstServer = new AtomicLong();

  /** Time at which another server went on with the request; 0 if none did. */
  private final AtomicLong startOfSecondServer = new AtomicLong();

  private TwoServers(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] args) throws Exception {
    Deployment.run(args[0], deployment -> new TwoServers(deployment).run());
  }

  private boolean generate(String id, Server.Request request, OutputStream out) throws Exception {
    String last = request.head().header("Last-Event-Id");
    int made = last == null ? 0 : Integer.parseInt(last);
    deployment.record(
        id + " runs " + request.id() + (last == null ? "" : " from event " + last + " on"));
    if (last != null) {
      startOfSecondServer.set(System.nanoTime());
    }
    boolean open =
        write(
            out,
            "HTTP/1.1 200 OK\r\nX-Oriolewell-Attempt-Id: " + request.id()
                + "\r\nX-Oriolewell-Server-Seal: seal-" + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (open && made < EVENTS) {
      Deployment.pause(EVENT_MILLIS);
      if (Deployment.trouble() && last == null && made == 2) {
        deployment.record(id + " preempts " + request.id() + " for " + PREEMPTED_MILLIS + " ms");
        Deployment.pause(PREEMPTED_MILLIS);
        deployment.record(id + " goes on with " + request.id());
      }
      made++;
      open = write(out, Server.chunk("id: " + made + "\ndata: event " + made + "\n\n"));
      if (last == null) {
        lastOfFirstServer.set(System.nanoTime());
      }
    }
    deployment.record(
        id + (open ? " ends " : " finds its channel closed and drops ") + request.id() + " after "
            + made + " of " + EVENTS + " events");
    return open && write(out, "0\r\n\r\n");
  }

  private static boolean write(OutputStream out, String text) {
    try {
      Server.write(out, text);
      return true;
    } catch (java.io.IOException e) {
      return false;
    }
  }

  private void engine(String id) throws Exception {
    Server engine = new Server((request, channel, out) -> generate(id, request, out));
    deployment.register(id, "oriole-pool", engine.address(), "caerdydd-a", 128);
  }

  private boolean run() throws Exception {
    deployment.manifest(
        1,
        List.of(
            Deployment.route(
                "defect-summary", "streaming", "oriole-pool", 6000, 1700,
                ",\"max_attempts\":2,\"resumable\":true,\"target_gap_ms\":250,\"sticky\":true")),
        List.of("{\"name\":\"oriole-pool\",\"engine\":{}}"));
    engine("i-engine1");
    engine("i-engine2");
    Deployment.Gateway gateway = deployment.startGateways();
    try (Requester requester = new Requester(gateway.callersPort)) {
      Requester.Answer answer =
          requester.request(
              "POST",
              "/defect-summary/d",
              Deployment.AUTHORIZATION + "X-Oriolewell-Attempt-Id: a1\r\nX-Oriolewell-Model: m\r\n"
                  + "X-Oriolewell-Token-Count: 2368,80\r\nX-Oriolewell-Prompt-Prefix:"
                  + " 5c1e07a2:341,91bd3f06:227,e4402b7d:1800\r\n"
                  + "X-Oriolewell-Request-Deadline: 6000\r\n",
              "summary");
      deployment.record("a1 answered: " + answer.status() + ", whole: " + answer.whole());
    }
    Deployment.pause(2000);
    long startedAt = startOfSecondServer.get();
    if (startedAt == 0) {
      deployment.record("the request ran at one server only");
      return false;
    }
    long overlapMillis = (lastOfFirstServer.get() - startedAt) / 1_000_000;
    deployment.record(
        "the first server made its last event " + overlapMillis
            + " ms after the second one had gone on with the request");
    return overlapMillis > 400;
  }
}
