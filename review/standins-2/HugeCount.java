import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client that nobody controls states an absurd number of pieces, in one short request, while
 * requests of ordinary requesters are running.
 */
final class HugeCount {
  private static final int ROUNDS = 3;
  private static final int REQUESTERS = 3;
  private static final int WORK_MILLIS = 600;

  private final Deployment deployment;
  private final Set<String> runs = ConcurrentHashMap.newKeySet();
  private int lost;
  private int ends;

  private HugeCount(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] args) throws Exception {
    Deployment.run(args[0], deployment -> new HugeCount(deployment).run());
  }

  private static String headers(String id) {
    return Deployment.AUTHORIZATION + "X-Oriolewell-Attempt-Id: " + id
        + "\r\nX-Oriolewell-Request-Deadline: 2000\r\n";
  }

  private boolean answer(Server.Request request, java.io.OutputStream out) throws Exception {
    runs.add(request.id());
    Deployment.pause(request.id().startsWith("warm") ? 20 : WORK_MILLIS);
    Server.write(
        out,
        Server.answer(
            200,
            "X-Oriolewell-Attempt-Id: " + request.id() + "\r\nX-Oriolewell-Server-Seal: seal\r\n",
            "permit " + request.id()));
    return true;
  }

  private void round(Deployment.Gateway gateway, String name) throws Exception {
    List<Requester> channels = new ArrayList<>();
    for (int i = 1; i <= REQUESTERS; i++) {
      Requester channel = new Requester(gateway.callersPort);
      channels.add(channel);
      String id = "warm-" + name + "-" + i;
      if (channel.request("POST", "/permit-record/p", headers(id), "permit").status() != 200) {
        throw new Deployment.NotRun("an ordinary request was not answered");
      }
    }
    for (int i = 1; i <= REQUESTERS; i++) {
      channels.get(i - 1).send("POST", "/permit-record/p", headers(name + "-" + i), "permit");
    }
    Deployment.pause(200);
    String count = Deployment.trouble() ? "2147483647" : "1";
    try (Requester client = new Requester(gateway.callersPort)) {
      client.send(
          "POST",
          "/defect-summary/d",
          headers("client-" + name) + "X-Oriolewell-Model: m\r\nX-Oriolewell-Token-Count: 100,24\r\n"
              + "X-Oriolewell-Pieces: " + count + "\r\nX-Oriolewell-Piece-Key: 7c1e07a291bd\r\n"
              + "X-Oriolewell-Prompt-Prefix: 5c1e07a2:50,91bd3f06:50\r\n",
          "summary");
      deployment.record(
          "client-" + name + " sent to " + gateway.name + " with X-Oriolewell-Pieces: " + count);
      for (int i = 1; i <= REQUESTERS; i++) {
        String id = name + "-" + i;
        Requester.Answer answer = channels.get(i - 1).read();
        deployment.record(
            id + " (permit-record, unsafe, kept channel) answered: " + answer.status() + ", run: "
                + runs.contains(id));
        lost += answer.status() == 0 && runs.contains(id) ? 1 : 0;
        channels.get(i - 1).close();
      }
    }
    Deployment.pause(500);
    if (!gateway.process.isAlive()) {
      ends++;
      deployment.record(
          gateway.name + " has ended by itself with exit code " + gateway.process.exitValue());
    }
  }

  private boolean run() throws Exception {
    Server desk = new Server((request, channel, out) -> answer(request, out));
    Server other = new Server((request, channel, out) -> false);
    deployment.manifest(
        1,
        List.of(
            Deployment.route(
                "permit-record", "unsafe", "permit-desk", 1000, 400, ",\"max_attempts\":1"),
            Deployment.route(
                "defect-summary", "streaming", "oriole-pool", 6000, 1700,
                ",\"max_attempts\":2,\"resumable\":true,\"target_gap_ms\":250,\"sticky\":true,"
                    + "\"stages\":[{\"service\":\"crew-roster\",\"after\":[],\"bytes\":8000}]")),
        List.of(
            "{\"name\":\"permit-desk\"}",
            "{\"name\":\"oriole-pool\",\"engine\":{}}",
            "{\"name\":\"crew-roster\",\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":7,"
                + "\"call_ms\":150,\"item_ms\":18.3,\"headroom_mb\":37.6,\"handle_ttl_s\":4,"
                + "\"link_mbps\":10000}}"));
    deployment.register("i-desk1", "permit-desk", desk.address(), "caerdydd-a", 6);
    deployment.register("i-engine1", "oriole-pool", other.address(), "caerdydd-a", 128);
    deployment.register("i-roster1", "crew-roster", other.address(), "caerdydd-a", 1);
    Deployment.Gateway[] gateways = new Deployment.Gateway[2];
    for (int round = 1; round <= ROUNDS; round++) {
      for (int i = 0; i < gateways.length; i++) {
        if (gateways[i] == null || !gateways[i].process.isAlive()) {
          gateways[i] = deployment.startGateway("front-caerdydd-a-" + (i + 1));
        }
      }
      for (int i = 0; i < gateways.length; i++) {
        gateways[i] = deployment.awaitReadyOnFreePorts(gateways[i]);
      }
      Deployment.pause(Deployment.CONTACT_MILLIS + 500);
      for (int i = 0; i < gateways.length; i++) {
        round(gateways[i], "r" + round + "-g" + (i + 1));
      }
    }
    deployment.record(
        lost + " requests that ran got no answer; gateways ended by themselves " + ends + " times");
    return lost > 3;
  }
}
