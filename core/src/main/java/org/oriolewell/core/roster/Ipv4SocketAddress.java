package org.oriolewell.core.roster;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IPv4 address and a port. Host names aren't accepted, so that nothing has to be resolved.
 *
 * @param ip the four octets of the address, the first in the highest bits
 * @param port port from 0 to 65535; 0 only in an address to bind
 */
public record Ipv4SocketAddress(int ip, int port) {
  private static final int MAX_OCTET = 255;
  private static final int MAX_PORT = 65_535;
  private static final String NUMBER = "(0|[1-9]\\d{0,4})";
  private static final Pattern PATTERN =
      Pattern.compile(NUMBER + "\\." + NUMBER + "\\." + NUMBER + "\\." + NUMBER + ":" + NUMBER);

  /** Length up to which a message quotes a text that is no address. */
  private static final int MAX_QUOTED_LENGTH = 60;

  /** Checks the port. */
  public Ipv4SocketAddress {
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("the port " + port + " is not from 0 to " + MAX_PORT);
    }
  }

  /**
   * Parses the address of a remote host, of the form {@code IP:PORT}.
   *
   * @throws IllegalArgumentException if an octet or the port is out of range, or has leading zeros,
   *     or the text has another form
   */
  public static Ipv4SocketAddress parse(String text) {
    return parseWithMinPort(text, 1);
  }

  /**
   * Parses an address to bind; the port may be 0, for one that the system chooses.
   *
   * @throws IllegalArgumentException as {@link #parse}
   */
  public static Ipv4SocketAddress parseBindAddress(String text) {
    return parseWithMinPort(text, 0);
  }

  private static Ipv4SocketAddress parseWithMinPort(String text, int minPort) {
    Matcher matcher = PATTERN.matcher(text);
    if (!matcher.matches()) {
      throw notAnAddress(text, minPort);
    }
    int ip = 0;
    for (int group = 1; group <= 4; group++) {
      int octet = Integer.parseInt(matcher.group(group));
      if (octet > MAX_OCTET) {
        throw notAnAddress(text, minPort);
      }
      ip = ip << 8 | octet;
    }
    int port = Integer.parseInt(matcher.group(5));
    if (port < minPort || port > MAX_PORT) {
      throw notAnAddress(text, minPort);
    }
    return new Ipv4SocketAddress(ip, port);
  }

  private static IllegalArgumentException notAnAddress(String text, int minPort) {
    String quoted =
        text.length() > MAX_QUOTED_LENGTH ? text.substring(0, MAX_QUOTED_LENGTH) + "..." : text;
    return new IllegalArgumentException(
        "'"
            + quoted
            + "' is not an IPv4 address with a port from "
            + minPort
            + " to "
            + MAX_PORT
            + "; write IP:PORT");
  }

  /** Returns the four octets of the address in network byte order. */
  public byte[] octets() {
    return new byte[] {(byte) (ip >> 24), (byte) (ip >> 16), (byte) (ip >> 8), (byte) ip};
  }

  /** Returns the address in the form {@code IP:PORT}. */
  @Override
  public String toString() {
    return (ip >> 24 & MAX_OCTET)
        + "."
        + (ip >> 16 & MAX_OCTET)
        + "."
        + (ip >> 8 & MAX_OCTET)
        + "."
        + (ip & MAX_OCTET)
        + ":"
        + port;
  }
}
