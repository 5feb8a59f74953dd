import java.io.OutputStream;
import java.net.Socket;

/**
 * A server of a plain service, as a process of its own. Its answers have no length and end with
 * their channel, and it writes them in two parts. Prints its address, then one line for each part.
 */
final class DeskServer {
  static final int ROWS = 40;

  private DeskServer() {}

  /** Returns the rows of the answer to a request, from one to another. */
  static String rows(String id, int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int row = from; row < to; row++) {
      text.append(id).append(" permit row ").append(row).append('\n');
    }
    return text.toString();
  }

  public static void main(String[] args) throws Exception {
    long pauseMillis = Long.parseLong(args[0]);
    Server server = new Server((request, channel, out) -> answer(request, out, pauseMillis));
    System.out.println(server.address());
    Thread.sleep(Long.MAX_VALUE);
  }

  private static boolean answer(Server.Request request, OutputStream out, long pauseMillis)
      throws Exception {
    Server.write(
        out,
        "HTTP/1.1 200 OK\r\nX-Oriolewell-Attempt-Id: " + request.id()
            + "\r\nX-Oriolewell-Server-Seal: seal-" + request.id()
            + "\r\nContent-Type: text/plain\r\n\r\n" + rows(request.id(), 0, ROWS / 2));
    System.out.println("first half of " + request.id());
    Thread.sleep(pauseMillis);
    Server.write(out, rows(request.id(), ROWS / 2, ROWS));
    System.out.println("whole " + request.id());
    return false;
  }
}
