import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters send paths and queries with letters that aren't ASCII, as the bytes of UTF-8. Checks
 * that the server runs each request with the path and the query that were sent.
 */
final class PathBytes {
  private static final int REQUESTS = 40;

  private final Rig rig;
  private final Map<String, String> sentTargets = new ConcurrentHashMap<>();
  private final AtomicInteger changed = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();

  private PathBytes(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    int result = Rig.NOT_RUN;
    try (Rig rig = new Rig(Path.of(args[0]))) {
      result = new PathBytes(rig).run();
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(result);
  }

  private int run() throws Exception {
    Rig.Server desk = rig.new Server(this::desk);
    rig.store.put(
        "servers/i-desk",
        "{\"service\":\"desk\",\"address\":\"" + desk.address()
            + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
            + "\"cold_left_ms\":0,\"sequence\":4,\"born\":1760000000000}");
    rig.store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-permit\",\"host\":\"jepu9.example\","
            + "\"prefix\":\"/permit/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,"
            + "\"target_latency_ms\":486,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,"
            + "\"stages\":[],\"anonymous\":true,\"resumable\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":96,"
            + "\"protocol\":\"h1\",\"tls\":false}],\"tenants\":[],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":10000}}");
    Rig.Gateway gateway = rig.startGateway("front-a-1", "a", "\"a=north\"", rig.store.address());
    if (!rig.awaitReady(gateway)) {
      return Rig.NOT_RUN;
    }
    for (int i = 0; i < REQUESTS; i++) {
      request(
          gateway,
          Rig.trouble()
              ? "/permit/t\u0177-nant/" + i + "?crew=Si\u00e2n"
              : "/permit/t%C5%B7-nant/" + i + "?crew=Si%C3%A2n");
    }
    rig.log(
        served + " of " + REQUESTS + " requests answered with 200, " + changed
            + " run with another path or query");
    if (served.get() == 0 && changed.get() == 0) {
      return Rig.NOT_RUN;
    }
    return changed.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  /** Returns bytes, one a character, as text: ASCII as it is, the others as hexadecimal numbers. */
  private static String shown(String target) {
    StringBuilder text = new StringBuilder();
    for (char c : target.toCharArray()) {
      text.append(c < 127 ? String.valueOf(c) : String.format("<%02x>", (int) c));
    }
    return text.toString();
  }

  private void desk(Rig.Message request, Rig.Conn connection) throws Exception {
    String id = request.header("X-Oriolewell-Attempt-Id");
    boolean same = request.target().equals(sentTargets.get(id));
    rig.log("server: runs " + id + " " + shown(request.target()) + (same ? "" : ": ANOTHER PATH OR QUERY"));
    if (!same) {
      changed.incrementAndGet();
    }
    String body = "recorded " + id;
    connection.write(
        Rig.answer(
            200,
            "X-Oriolewell-Attempt-Id: " + id + "\r\nX-Oriolewell-Server-Seal: seal-" + id + "\r\n",
            body));
  }

  private void request(Rig.Gateway gateway, String target) {
    String id = Rig.newId();
    byte[] head =
        ("POST " + target + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Oriolewell-Attempt-Id: " + id
                + "\r\nX-Oriolewell-Request-Deadline: 2000\r\nContent-Length: 6\r\n\r\npermit")
            .getBytes(StandardCharsets.UTF_8);
    String sent = new String(target.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    sentTargets.put(id, sent);
    try (Socket socket = Rig.open(gateway.callers)) {
      socket.setSoTimeout(3000);
      rig.log("client: sends " + id + " " + shown(sent));
      socket.getOutputStream().write(head);
      Rig.Message answer = Rig.read(socket.getInputStream());
      rig.log("client: " + id + " gets " + answer.status());
      if (answer.status() == 200) {
        served.incrementAndGet();
      }
    } catch (IOException e) {
      rig.log("client: " + id + " gets no whole answer: " + e);
    }
  }
}
