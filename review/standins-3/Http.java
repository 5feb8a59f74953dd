import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams, for the stand-ins of this review. */
final class Http {
  /** A message. The keys of the headers are in lower case. */
  static final class Message {
    String firstLine = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    /** Whether the body has come to the end that its framing states. */
    boolean whole = true;

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String method() {
      return firstLine.split(" ")[0];
    }

    String target() {
      return firstLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Http() {}

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("the stream ended in a line");
      }
      if (b != '\r') {
        bytes.write(b);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a head; returns null if the stream ends before its first byte. */
  static Message head(InputStream in) throws IOException {
    Message message = new Message();
    try {
      message.firstLine = line(in);
    } catch (EOFException e) {
      return null;
    }
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return message;
  }

  /** Reads a request; returns null at the end of the stream. */
  static Message request(InputStream in) throws IOException {
    Message message = head(in);
    if (message != null) {
      String length = message.header("Content-Length");
      message.body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
    }
    return message;
  }

  /** Reads an answer; a body that ends early is marked as not whole. */
  static Message answer(InputStream in) throws IOException {
    Message message = head(in);
    if (message == null) {
      return null;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      if (message.header("Transfer-Encoding").equals("chunked")) {
        for (int size = size(in); size > 0; size = size(in)) {
          byte[] part = in.readNBytes(size);
          body.write(part);
          if (part.length < size) {
            throw new EOFException("the stream ended in a chunk");
          }
          line(in);
        }
        line(in);
      } else {
        int length = Integer.parseInt(message.header("Content-Length"));
        byte[] part = in.readNBytes(length);
        body.write(part);
        message.whole = part.length == length;
      }
    } catch (IOException e) {
      message.whole = false;
    }
    message.body = body.toByteArray();
    return message;
  }

  private static int size(InputStream in) throws IOException {
    return Integer.parseInt(line(in).trim(), 16);
  }

  /** Returns an answer with a length. */
  static byte[] bytes(String statusAndReason, String headers, String body) {
    byte[] bodyBytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 "
            + statusAndReason
            + "\r\n"
            + headers
            + "Content-Length: "
            + bodyBytes.length
            + "\r\n\r\n";
    return (head + body).getBytes(StandardCharsets.UTF_8);
  }
}
