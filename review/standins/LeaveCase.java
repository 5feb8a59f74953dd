import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A server drains and leaves while it still writes a stream that ends with its channel. */
final class LeaveCase {
  private static final int SERVERS = 8;
  private static final int FRAMED_STREAMS = 24;
  private static final int EVENTS = 60;
  private static final int DRAIN_MILLIS = 2500;
  private static final String ATTEMPT = "9c41d07be2a35f68";

  public static void main(String[] args) throws Exception {
    Kit.main(args, LeaveCase::run);
  }

  private static boolean run(Kit.Record record, Path repository, Path folder, boolean trouble)
      throws Exception {
    Kit.Store store = new Kit.Store();
    List<ServerProcess.Handle> servers =
        ServerProcess.startAll(record, store, "oriole-pool", "stream", SERVERS, 128);
    store.put(
        "op/config",
        Kit.manifest(
            7,
            Kit.route("puxa400", "streaming", "oriole-pool", 15000, 1, ""),
            "{\"name\":\"oriole-pool\",\"engine\":{}}"));
    try (Kit.Gateway gateway = new Kit.Gateway(repository, folder, store.address(), Map.of())) {
      gateway.awaitReady();
      for (int i = 0; i < FRAMED_STREAMS; i++) {
        try (Socket channel = gateway.connect()) {
          ask(record, channel, String.format("%016x", 0x14da6f38e5b20000L + i), "xx");
          Kit.readAnswer(channel.getInputStream(), new boolean[1]);
        }
      }
      try (Socket channel = gateway.connect()) {
        ask(record, channel, ATTEMPT, "u".repeat(EVENTS));
        ServerProcess.Handle leaving = ServerProcess.runner(servers, ATTEMPT);
        if (trouble) {
          Kit.daemon(() -> leave(record, store, leaving));
        }
        boolean[] complete = new boolean[1];
        Kit.Message answer = Kit.readAnswer(channel.getInputStream(), complete);
        int events = answer == null ? 0 : answer.text().split("\n\n").length;
        record.line(
            "the requester has "
                + (answer == null ? "no answer" : "status " + answer.status() + " and " + events)
                + " of "
                + EVENTS
                + " events; the stream "
                + (complete[0] ? "ended as complete" : "did not end as complete"));
        return complete[0] && events < EVENTS;
      }
    } finally {
      servers.forEach(ServerProcess.Handle::close);
    }
  }

  private static void ask(Kit.Record record, Socket channel, String attempt, String body)
      throws Exception {
    record.line("the requester sends " + attempt + ", a stream of " + body.length() + " events");
    channel
        .getOutputStream()
        .write(
            Kit.bytes(
                Kit.request(
                    "POST",
                    "/puxa400/2f",
                    attempt,
                    15000,
                    "X-Oriolewell-Model: m\r\nX-Oriolewell-Token-Count: 543,240\r\n"
                        + "X-Oriolewell-Prompt-Prefix: 5c1e07a2:103,91bd3f06:69,e4402b7d:371\r\n",
                    body)));
  }

  /** Planned shutdown of a server, as "Service discovery" in PROTOCOL.md describes it. */
  private static void leave(Kit.Record record, Kit.Store store, ServerProcess.Handle server)
      throws Exception {
    Thread.sleep(500);
    store.put(
        "servers/" + server.id, Kit.serverEntry("oriole-pool", server.port, 128, "draining", 2));
    record.line("server " + server.id + " reports draining; the store has accepted it");
    Thread.sleep(DRAIN_MILLIS + 1500);
    record.line("server " + server.id + " exits");
    server.process.destroyForcibly();
    store.delete("servers/" + server.id);
  }
}
