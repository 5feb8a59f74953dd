package org.oriolewell.bench;

import java.io.IOException;
import java.util.Locale;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Prints the bytes of a PING and a PONG as section 2.4 of the design encodes them, and how many
 * connections fit into 4 KB/s at various intervals. Counted per node, both directions, with the
 * headers of IPv4 and of TCP with timestamps (52 bytes) or of UDP (28 bytes). Over TCP each
 * exchange also takes one pure acknowledgment, since nothing else follows the PONG in time.
 */
public final class HeartbeatBytes {
  private static final int TCP = 52;
  private static final int UDP = 28;
  private static final int BUDGET = 4_000;

  private HeartbeatBytes() {}

  /** Prints the table; takes no arguments. */
  public static void main(String[] args) throws IOException {
    int ping = 4 + heartbeat(4).length;
    int pong = 4 + heartbeat(5).length;
    int tcp = 3 * TCP + ping + pong;
    int udp = 2 * UDP + ping + pong;
    System.out.printf("PING %d B, PONG %d B, exchange: TCP %d B, UDP %d B%n", ping, pong, tcp, udp);
    for (double seconds : new double[] {0.25, 0.5, 1, 2, 3, 5, 10}) {
      System.out.printf(
          Locale.ROOT,
          "| %.2f s | %.0f B/s | %d | %.0f B/s | %d |%n",
          seconds,
          tcp / seconds,
          (int) (BUDGET * seconds / tcp),
          udp / seconds,
          (int) (BUDGET * seconds / udp));
    }
  }

  /** Returns a message with values of a process that has run for a day. */
  private static byte[] heartbeat(int fields) throws IOException {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packArrayHeader(fields).packInt(11).packLong(345_600).packLong(48_000);
      out.packArrayHeader(5).packInt(12).packInt(3).packInt(16).packLong(35_000).packBoolean(false);
      if (fields == 5) {
        out.packMapHeader(0);
      }
      return out.toByteArray();
    }
  }
}
