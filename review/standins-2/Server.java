import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server that is reached through the gateway: one request at a time on each channel. */
final class Server {
  /** A request that has been read whole. */
  record Request(String method, String target, Wire.Head head, String body) {
    String id() {
      return head.header("X-Oriolewell-Attempt-Id");
    }
  }

  /** Answers requests; keeps the channel if it returns true. */
  interface Handler {
    boolean answer(Request request, Socket channel, OutputStream out) throws Exception;
  }

  private final ServerSocket listener;
  private final Handler handler;

  Server(Handler handler) throws IOException {
    this.handler = handler;
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket channel = listener.accept();
        channel.setTcpNoDelay(true);
        start(() -> serve(channel));
      }
    } catch (IOException e) {
      // The process ends.
    }
  }

  private void serve(Socket channel) {
    try (channel) {
      InputStream in = new java.io.BufferedInputStream(channel.getInputStream());
      while (true) {
        Wire.Head head = Wire.readHead(in);
        if (head == null) {
          return;
        }
        String length = head.header("Content-Length");
        byte[] body = length == null ? new byte[0] : Wire.readBytes(in, Integer.parseInt(length));
        String[] words = head.firstLine().split(" ");
        Request request =
            new Request(words[0], words[1], head, new String(body, StandardCharsets.UTF_8));
        if (!handler.answer(request, channel, channel.getOutputStream())) {
          return;
        }
      }
    } catch (Exception e) {
      // The channel is lost.
    }
  }

  /** Writes text as it is. */
  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Returns an answer with a length. */
  static String answer(int status, String headers, String body) {
    return "HTTP/1.1 " + status + " X\r\n" + headers
        + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Returns one chunk. */
  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }
}
