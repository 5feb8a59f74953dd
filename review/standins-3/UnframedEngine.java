import java.nio.charset.StandardCharsets;

/**
 * A model server in a process of its own that answers with streams of events. Some of its streams
 * have no length and end with their connection. Prints a line at the start of such a stream.
 */
final class UnframedEngine {
  static final int EVENT_MILLIS = 50;
  private static final int FIRST_MILLIS = 110;

  private UnframedEngine() {}

  /** Arguments: port, streams per unframed one (0: none), events of a stream. */
  public static void main(String[] args) throws Exception {
    int streamsPerUnframed = Integer.parseInt(args[1]);
    int events = Integer.parseInt(args[2]);
    int[] streams = new int[1];
    new Server(
        Integer.parseInt(args[0]),
        (request, connection) -> {
          String id = request.header("X-Oriolewell-Attempt-Id");
          boolean unframed;
          synchronized (streams) {
            streams[0]++;
            unframed = streamsPerUnframed > 0 && streams[0] % streamsPerUnframed == 0;
          }
          Thread.sleep(FIRST_MILLIS);
          String head =
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Oriolewell-Attempt-Id: "
                  + id
                  + "\r\nX-Oriolewell-Server-Seal: "
                  + Trial.seal()
                  + "\r\n"
                  + (unframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n")
                  + "\r\n";
          connection.write(head.getBytes(StandardCharsets.US_ASCII));
          if (unframed) {
            System.out.println("unframed " + id);
          }
          for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: " + id + "\n\n";
            String bytes =
                unframed ? event : Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            connection.write(bytes.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(EVENT_MILLIS);
          }
          if (unframed) {
            connection.socket.close();
          } else {
            connection.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          }
        });
    Thread.currentThread().join();
  }
}
