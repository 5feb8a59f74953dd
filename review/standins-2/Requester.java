import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A channel of a requester to a gateway. It is kept for further requests. */
final class Requester implements AutoCloseable {
  /**
   * What the requester got.
   *
   * @param status status code; 0 if the channel ended before a head
   * @param head head of the answer; null if there was none
   * @param body bytes of the body that arrived
   * @param whole whether the answer is complete as HTTP tells it
   */
  record Answer(int status, Wire.Head head, String body, boolean whole) {
    boolean sealed() {
      return head != null && head.header("X-Oriolewell-Server-Seal") != null;
    }

    boolean saysClose() {
      return head != null && "close".equalsIgnoreCase(head.header("Connection"));
    }
  }

  private final Socket channel;
  private final InputStream in;

  Requester(int port) throws IOException {
    channel = new Socket(InetAddress.getByName("127.0.0.1"), port);
    channel.setTcpNoDelay(true);
    channel.setSoTimeout(30_000);
    in = new BufferedInputStream(channel.getInputStream());
  }

  /** Sends a request and reads its answer. */
  Answer request(String method, String target, String headers, String body) throws IOException {
    send(method, target, headers, body);
    return read();
  }

  void send(String method, String target, String headers, String body) throws IOException {
    String text =
        method + " " + target + " HTTP/1.1\r\nHost: front.example\r\n" + headers
            + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n")
            + "\r\n" + body;
    channel.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    channel.getOutputStream().flush();
  }

  Answer read() {
    Wire.Head head = null;
    int status = 0;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean whole = false;
    try {
      head = Wire.readHead(in);
      if (head != null) {
        status = Integer.parseInt(head.firstLine().split(" ")[1]);
        String length = head.header("Content-Length");
        if (length != null) {
          for (int left = Integer.parseInt(length); left > 0; left--) {
            int octet = in.read();
            if (octet < 0) {
              throw new IOException("the body ended early");
            }
            body.write(octet);
          }
          whole = true;
        } else if ("chunked".equals(head.header("Transfer-Encoding"))) {
          for (byte[] chunk = Wire.readChunk(in); chunk != null; chunk = Wire.readChunk(in)) {
            body.write(chunk);
          }
          whole = true;
        } else {
          in.transferTo(body);
          whole = true;
        }
      }
    } catch (IOException e) {
      whole = false;
    }
    return new Answer(status, head, body.toString(StandardCharsets.ISO_8859_1), whole);
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
