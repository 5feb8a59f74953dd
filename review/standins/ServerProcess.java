import java.io.BufferedReader;
import java.io.OutputStream;
import java.net.ServerSocket;

/**
 * A server that runs as a process of its own, so that its end is that of a process. An answer to a
 * request whose body begins with "u" has no length and ends with its channel; all others are framed.
 * It prints its port, then what it runs.
 */
final class ServerProcess {
  public static void main(String[] args) throws Exception {
    String id = args[0];
    boolean streams = args[1].equals("stream");
    ServerSocket listener =
        Kit.startServer(
            0,
            () ->
                (request, out, channel) -> {
                  if (Kit.misdirected(request, id, out)) {
                    return;
                  }
                  boolean unframed = request.text().startsWith("u");
                  if (streams) {
                    stream(request, out, unframed);
                  } else {
                    answer(request, out, unframed);
                  }
                  if (unframed) {
                    channel.close();
                  }
                });
    System.out.println("port " + listener.getLocalPort());
    Thread.sleep(110_000);
  }

  /** One event each 100 ms, as many as the body has bytes. */
  private static void stream(Kit.Message request, OutputStream out, boolean unframed)
      throws Exception {
    String attempt = request.header("X-Oriolewell-Attempt-Id");
    System.out.println(
        "runs "
            + attempt
            + ", a stream of "
            + request.body.length
            + " events"
            + (unframed ? " without a length" : ""));
    out.write(
        Kit.bytes(
            Kit.answerHead(request, 200, "OK")
                + "Content-Type: text/event-stream\r\n"
                + (unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n")));
    for (int event = 1; event <= request.body.length; event++) {
      Thread.sleep(100);
      String text = "id: " + event + "\ndata: " + "w".repeat(40) + "\n\n";
      out.write(
          Kit.bytes(
              unframed ? text : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
    }
    if (!unframed) {
      out.write(Kit.bytes("0\r\n\r\n"));
    }
    System.out.println("has sent all events of " + attempt);
  }

  /** A body of 800 bytes in two parts, 300 ms apart. */
  private static void answer(Kit.Message request, OutputStream out, boolean unframed)
      throws Exception {
    String attempt = request.header("X-Oriolewell-Attempt-Id");
    System.out.println(
        "runs " + attempt + ", an answer of 800 bytes" + (unframed ? " without a length" : ""));
    Thread.sleep(86);
    out.write(
        Kit.bytes(
            Kit.answerHead(request, 200, "OK")
                + (unframed ? "Connection: close\r\n\r\n" : "Content-Length: 800\r\n\r\n")
                + "w".repeat(400)));
    if (unframed) {
      System.out.println("has sent 400 bytes of " + attempt);
      Thread.sleep(300);
    }
    out.write(Kit.bytes("w".repeat(400)));
    System.out.println("has sent 800 bytes of " + attempt);
  }

  /** Such a process, started with the classes of this one; its lines go to the record. */
  static final class Handle implements AutoCloseable {
    final String id;
    final Process process;
    final int port;
    private volatile String lastRun = "";

    Handle(Kit.Record record, String id, String mode) throws Exception {
      this.id = id;
      process =
          Kit.startChild(
              new ProcessBuilder(
                  "java",
                  "-Xmx64m",
                  "-XX:TieredStopAtLevel=1",
                  "-cp",
                  System.getProperty("java.class.path"),
                  "ServerProcess",
                  id,
                  mode)
              .redirectError(ProcessBuilder.Redirect.INHERIT));
      BufferedReader lines = process.inputReader();
      port = Integer.parseInt(lines.readLine().split(" ")[1]);
      Kit.daemon(
          () -> {
            String line = lines.readLine();
            while (line != null) {
              record.line("server " + id + " " + line);
              if (line.startsWith("runs ")) {
                lastRun = line.substring(5, line.indexOf(','));
              }
              line = lines.readLine();
            }
          });
    }

    /** Returns whether the last request that it has begun to run is the given one. */
    boolean runs(String attempt) {
      return lastRun.equals(attempt);
    }

    @Override
    public void close() {
      process.destroyForcibly();
    }
  }

  /** Starts servers of one service and lists them in the store as ready. */
  static java.util.List<Handle> startAll(
      Kit.Record record, Kit.Store store, String service, String mode, int count, int slots)
      throws Exception {
    java.util.List<Handle> servers = new java.util.ArrayList<>();
    for (int i = 1; i <= count; i++) {
      Handle server = new Handle(record, "i-" + i, mode);
      servers.add(server);
      store.put("servers/" + server.id, Kit.serverEntry(service, server.port, slots, "ready", 1));
    }
    return servers;
  }

  /** Returns the server that runs a request; waits up to 5 s for it. */
  static Handle runner(java.util.List<Handle> servers, String attempt) throws Exception {
    for (int i = 0; i < 500; i++) {
      for (Handle server : servers) {
        if (server.runs(attempt)) {
          return server;
        }
      }
      Thread.sleep(10);
    }
    throw new java.io.IOException("no server runs " + attempt);
  }
}
