package org.oriolewell.proofs;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/** Connections of callers that send much, stop short, and stay open without reading. */
final class ClientLoad implements AutoCloseable {
  private static final int CONNECTIONS = 300;
  private static final int PIPELINING_CONNECTIONS = 20;
  private static final int PIPELINED_REQUESTS = 20_000;
  private static final int MISSING_BYTES = 4 << 10;
  private static final int CHUNK_BYTES = 32 << 10;
  private static final int ONE_BYTE_CHUNKS = 16 << 10;
  private static final int HEAD_BYTES = 7 << 10;

  /** Writes without progress after which the rest of the load is given up. */
  private static final int MAX_IDLE_PASSES = 400;

  private static final long PASS_PAUSE_NANOS = 5_000_000;

  private final int port;
  private final List<Client> clients = new ArrayList<>();

  private record Client(SocketChannel channel, ByteBuffer output) {}

  private ClientLoad(int port) {
    this.port = port;
  }

  /**
   * Sends all kinds of load at once.
   *
   * @param requestLine method and target of requests that are read with their body
   * @param bodyBytes size of the largest legal body
   */
  static ClientLoad send(int port, String requestLine, int bodyBytes) throws IOException {
    ClientLoad load = new ClientLoad(port);
    String head = requestLine + " HTTP/1.1\r\nHost: h.example\r\n";
    byte[] whole =
        text(
            head
                + "Content-Length: "
                + bodyBytes
                + "\r\n\r\n"
                + "x".repeat(Math.max(0, bodyBytes - MISSING_BYTES)));
    String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
    String chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
    byte[] largeChunks = text(chunkedHead + chunk.repeat(Math.max(1, bodyBytes / CHUNK_BYTES - 1)));
    byte[] smallChunks = text(chunkedHead + "1\r\nx\r\n".repeat(ONE_BYTE_CHUNKS));
    byte[] halfHead = text(head + "X-Filler: " + "x".repeat(HEAD_BYTES));
    for (int i = 0; i < CONNECTIONS; i++) {
      load.add(i % 4 < 2 ? whole : i % 4 == 2 ? largeChunks : smallChunks);
      load.add(halfHead);
    }
    byte[] pipelined =
        text("GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n".repeat(PIPELINED_REQUESTS));
    for (int i = 0; i < PIPELINING_CONNECTIONS; i++) {
      load.add(pipelined);
    }
    load.write();
    return load;
  }

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private void add(byte[] output) {
    try {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      clients.add(new Client(channel, ByteBuffer.wrap(output)));
    } catch (IOException e) {
      // The server may refuse a connection.
    }
  }

  private void write() {
    int idlePasses = 0;
    boolean unsent = true;
    while (unsent && idlePasses < MAX_IDLE_PASSES) {
      unsent = false;
      boolean progress = false;
      for (Client client : clients) {
        try {
          if (client.channel().finishConnect() && client.output().hasRemaining()) {
            progress |= client.channel().write(client.output()) > 0;
          }
          unsent |= client.output().hasRemaining();
        } catch (IOException e) {
          // The server may close a connection.
          client.output().position(client.output().limit());
        }
      }
      idlePasses = progress ? 0 : idlePasses + 1;
      if (!progress) {
        LockSupport.parkNanos(PASS_PAUSE_NANOS);
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (Client client : clients) {
      client.channel().close();
    }
  }
}
