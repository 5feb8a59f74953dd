import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A server of a plain service in a process of its own. Each answer is written in two parts. Some
 * have no length and end with their connection. Prints a line when the first part of such an answer
 * is written.
 */
final class UnframedServer {
  static final String END = " end of the answer";

  private UnframedServer() {}

  /** Returns the whole body of the answer to a request. */
  static String body(String id) {
    return "record of " + id + " ".repeat(400) + "kept" + " ".repeat(300) + END;
  }

  /** Arguments: port, time between the two parts in milliseconds, answers per unframed one. */
  public static void main(String[] args) throws Exception {
    int pauseMillis = Integer.parseInt(args[1]);
    int answersPerUnframed = Integer.parseInt(args[2]);
    int[] answers = new int[1];
    new Server(
        Integer.parseInt(args[0]),
        (request, connection) -> {
          String id = request.header("X-Oriolewell-Attempt-Id");
          boolean unframed;
          synchronized (answers) {
            answers[0]++;
            unframed = answers[0] % answersPerUnframed == 0;
          }
          String body = body(id);
          String head =
              "HTTP/1.1 200 OK\r\nX-Oriolewell-Attempt-Id: "
                  + id
                  + "\r\nX-Oriolewell-Server-Seal: "
                  + Trial.seal()
                  + "\r\n"
                  + (unframed
                      ? "Connection: close\r\n"
                      : "Content-Length: " + body.length() + "\r\n")
                  + "\r\n";
          int half = body.length() / 2;
          System.out.println("runs " + id);
          Thread.sleep(40);
          connection.write((head + body.substring(0, half)).getBytes(StandardCharsets.US_ASCII));
          if (unframed) {
            System.out.println("half " + id);
          }
          Thread.sleep(pauseMillis);
          connection.write(body.substring(half).getBytes(StandardCharsets.US_ASCII));
          if (unframed) {
            Socket socket = connection.socket;
            socket.close();
          }
        });
    Thread.currentThread().join();
  }
}
