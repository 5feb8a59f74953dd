import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A server that makes the pieces of a stage and keeps their results until they are freed. */
final class Stage implements Server.Handler {
  private static final Pattern ITEM =
      Pattern.compile("\\{\"id\":\"([^\"]*)\",\"stage\":(\\d+),\"piece\":(\\d+)");
  private static final Pattern HANDLE = Pattern.compile("\"([^\",\\[\\]]*/[^\",\\[\\]]*)\"");

  private final Deployment deployment;
  private final String id;
  private final long callMillis;
  private final Set<String> results = ConcurrentHashMap.newKeySet();
  private String address = "";
  private int count;

  Stage(Deployment deployment, String id, long callMillis) {
    this.deployment = deployment;
    this.id = id;
    this.callMillis = callMillis;
  }

  void address(String newAddress) {
    address = newAddress;
  }

  /** Returns whether a result is kept. */
  boolean keeps(String handle) {
    return results.contains(handle);
  }

  private synchronized String newHandle() {
    String handle = address + "/" + Integer.toHexString(0x91bd30 + ++count);
    results.add(handle);
    return handle;
  }

  @Override
  public boolean answer(Server.Request request, Socket channel, OutputStream out) throws Exception {
    if (request.target().equals("/stage-run")) {
      List<String> items = new ArrayList<>();
      Deployment.pause(callMillis);
      Matcher item = ITEM.matcher(request.body());
      while (item.find()) {
        String handle = newHandle();
        items.add("{\"handle\":\"" + handle + "\"}");
        deployment.record(
            id + " made piece " + item.group(3) + " of " + item.group(1) + ": " + handle);
      }
      Server.write(out, ok("{\"items\":[" + String.join(",", items) + "]}"));
    } else {
      Matcher handle = HANDLE.matcher(request.body());
      while (handle.find()) {
        results.remove(handle.group(1));
        deployment.record(id + " frees " + handle.group(1) + ", as the gateway asks");
      }
      Server.write(out, ok("{}"));
    }
    return true;
  }

  private static String ok(String body) {
    return Server.answer(
        200, "Content-Type: application/json\r\nX-Oriolewell-Server-Load: 0,0,1\r\n", body);
  }
}
