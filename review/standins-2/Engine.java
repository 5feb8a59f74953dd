import java.io.OutputStream;
import java.net.Socket;

/**
 * A model server that streams its answers: one event for each four tokens of output, at a steady
 * pace, as long as the channel is open. Reports what it began and what it ended.
 */
final class Engine implements Server.Handler {
  private final Deployment deployment;
  private final String id;
  private final long eventMillis;

  Engine(Deployment deployment, String id, long eventMillis) {
    this.deployment = deployment;
    this.id = id;
    this.eventMillis = eventMillis;
  }

  @Override
  public boolean answer(Server.Request request, Socket channel, OutputStream out) throws Exception {
    String tokens = request.head().header("X-Oriolewell-Token-Count");
    int events = Integer.parseInt(tokens.split(",")[1].trim()) / 4;
    deployment.record(id + " runs " + request.id() + ", which takes " + events + " events");
    int sent = 0;
    try {
      Server.write(
          out,
          "HTTP/1.1 200 OK\r\nX-Oriolewell-Attempt-Id: " + request.id()
              + "\r\nX-Oriolewell-Server-Seal: seal-" + request.id()
              + "\r\nX-Oriolewell-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n");
      while (sent < events) {
        Deployment.pause(eventMillis);
        if (channel.getInputStream().available() > 0 || closed(channel)) {
          throw new java.io.IOException("the gateway has closed the channel");
        }
        sent++;
        Server.write(out, Server.chunk("id: " + sent + "\ndata: event " + sent + "\n\n"));
      }
      Server.write(out, "0\r\n\r\n");
      deployment.record(id + " ends " + request.id() + ", all " + events + " events sent");
      return true;
    } catch (java.io.IOException e) {
      deployment.record(
          id + " stops " + request.id() + " after " + sent + " of " + events
              + " events, since its channel was closed by the gateway");
      return false;
    }
  }

  /** Returns whether the other side has closed a channel on which nothing is to be read. */
  private static boolean closed(Socket channel) throws java.io.IOException {
    channel.setSoTimeout(1);
    try {
      return channel.getInputStream().read() < 0;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } finally {
      channel.setSoTimeout(0);
    }
  }
}
