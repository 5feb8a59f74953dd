import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** A server of a plain service crashes while it writes an answer that has no length. */
final class TruncatedAnswer {
  public static void main(String[] args) throws Exception {
    Deployment deployment = new Deployment(Path.of(args[0]));
    deployment.limit(Duration.ofSeconds(100));
    try {
      deployment.end(run(deployment) ? 1 : 0);
    } catch (Deployment.NotRun e) {
      deployment.record(e.getMessage());
      deployment.end(2);
    }
  }

  private static boolean run(Deployment deployment) throws Exception {
    deployment.manifest(
        1,
        List.of(
            Deployment.route(
                "permit-record", "unsafe", "permit-desk", 1000, 400, ",\"max_attempts\":1")),
        List.of("{\"name\":\"permit-desk\"}"));
    Process server = deployment.startProcess("DeskServer", "300");
    BufferedReader output =
        new BufferedReader(new InputStreamReader(server.getInputStream()));
    deployment.register("i-desk1", "permit-desk", output.readLine(), "caerdydd-a", 6);
    for (int i = 2; i <= 6; i++) {
      // One of six servers crashes; these are in another zone and get nothing while it is idle.
      Server other = new Server((request, channel, out) -> false);
      deployment.register("i-desk" + i, "permit-desk", other.address(), "bangor-a", 6);
    }
    Deployment.Gateway gateway = deployment.startGateway("front-caerdydd-a-1");
    deployment.awaitReady(gateway);
    Deployment.pause(500);
    boolean broken = false;
    for (int i = 1; i <= 2; i++) {
      String id = "a" + i;
      try (Requester requester = new Requester(gateway.callersPort)) {
        requester.send(
            "POST",
            "/permit-record/p",
            Deployment.AUTHORIZATION + "X-Oriolewell-Attempt-Id: " + id
                + "\r\nX-Oriolewell-Request-Deadline: 2000\r\n",
            "permit");
        deployment.record(id + " (permit-record, unsafe) sent");
        deployment.record("i-desk1: " + output.readLine());
        if (i == 2 && Deployment.trouble()) {
          server.destroyForcibly();
          deployment.cut("i-desk1");
          deployment.record("i-desk1 killed (SIGKILL) in the middle of its answer to " + id);
        } else {
          deployment.record("i-desk1: " + output.readLine());
        }
        Requester.Answer answer = requester.read();
        String whole = DeskServer.rows(id, 0, DeskServer.ROWS);
        deployment.record(
            id + " answered: " + answer.status() + ", seal: " + answer.sealed()
                + ", complete for HTTP: " + answer.whole() + ", " + answer.body().length() + " of "
                + whole.length() + " bytes, Content-Length: "
                + (answer.head() == null ? null : answer.head().header("Content-Length")));
        boolean success = answer.status() / 100 == 2 && answer.whole();
        if (i == 1 && !(success && answer.body().equals(whole))) {
          throw new Deployment.NotRun("the answer before the crash is not as expected");
        }
        broken |= success && !answer.body().equals(whole);
      }
    }
    return broken;
  }
}
