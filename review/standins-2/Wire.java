import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Heads and bodies of HTTP/1.1 messages, read from a socket. */
final class Wire {
  private Wire() {}

  /** First line and headers of a message. */
  record Head(String firstLine, List<String> lines) {
    /** Returns the value of a header; null if it is missing. */
    String header(String name) {
      for (String line : lines) {
        int colon = line.indexOf(':');
        if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
          return line.substring(colon + 1).trim();
        }
      }
      return null;
    }
  }

  /** Reads a line without its end; null at the end of the input before its first byte. */
  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int octet = in.read(); octet != '\n'; octet = in.read()) {
      if (octet < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("the input ended within a line");
      }
      if (octet != '\r') {
        line.write(octet);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a head; null at the end of the input before its first byte. */
  static Head readHead(InputStream in) throws IOException {
    String firstLine = readLine(in);
    if (firstLine == null) {
      return null;
    }
    List<String> lines = new ArrayList<>();
    for (String line = readLine(in); ; line = readLine(in)) {
      if (line == null) {
        throw new EOFException("the input ended within a head");
      }
      if (line.isEmpty()) {
        return new Head(firstLine, lines);
      }
      lines.add(line);
    }
  }

  /** Reads exactly so many bytes. */
  static byte[] readBytes(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("the input ended within a body");
    }
    return bytes;
  }

  /** Reads a chunk; null for the last one. */
  static byte[] readChunk(InputStream in) throws IOException {
    String sizeLine = readLine(in);
    if (sizeLine == null) {
      throw new EOFException("the input ended before the last chunk");
    }
    int size = Integer.parseInt(sizeLine.trim(), 16);
    byte[] chunk = readBytes(in, size);
    if (readLine(in) == null) {
      throw new EOFException("the input ended within a chunk");
    }
    return size == 0 ? null : chunk;
  }
}
