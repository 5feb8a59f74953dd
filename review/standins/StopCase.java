import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;

/** A gateway gets SIGTERM; a stream that began before goes on, and its channel is used again. */
final class StopCase {
  private static final int GRACE_MILLIS = 8000;
  private static final int EVENT_MILLIS = 100;

  public static void main(String[] args) throws Exception {
    Kit.main(args, StopCase::run);
  }

  private static boolean run(Kit.Record record, Path repository, Path folder, boolean trouble)
      throws Exception {
    Kit.Store store = new Kit.Store();
    ServerSocket engine =
        Kit.startServer(0, () -> (request, out, channel) -> stream(record, request, out));
    store.put(
        "op/config",
        Kit.manifest(
            7,
            Kit.route("puxa400", "streaming", "oriole-pool", 15000, 1, ""),
            "{\"name\":\"oriole-pool\",\"engine\":{}}"));
    store.put("servers/i-1", Kit.serverEntry("oriole-pool", engine.getLocalPort(), 128, "ready", 1));
    try (Kit.Gateway gateway = new Kit.Gateway(repository, folder, store.address(), Map.of())) {
      gateway.awaitReady();
      Socket channel = gateway.connect();
      // The first stream begins 0.5 s before SIGTERM and ends 5.5 s after it.
      ask(record, channel, "9c41d07be2a35f68", 60);
      Thread.sleep(500);
      long stoppedAt = System.nanoTime();
      if (trouble) {
        record.line("the platform sends SIGTERM to the gateway");
        gateway.terminate();
        Kit.daemon(
            () -> {
              Thread.sleep(GRACE_MILLIS);
              if (gateway.process.isAlive()) {
                record.line("the platform sends SIGKILL to the gateway");
                gateway.process.destroyForcibly();
              }
            });
      }
      boolean[] complete = new boolean[1];
      Kit.Message first = Kit.readAnswer(channel.getInputStream(), complete);
      record.line(
          "the requester has the first answer: status "
              + first.status()
              + (complete[0] ? ", complete" : ", not complete")
              + ", Connection: "
              + first.headers.getOrDefault("Connection", "(none)"));
      if (!complete[0] || first.headers.containsKey("Connection")) {
        record.line("the channel isn't open for a second request, as it should be");
        return false;
      }
      Thread.sleep(100);
      long sentAfterMillis = (System.nanoTime() - stoppedAt) / 1_000_000;
      ask(record, channel, "14da6f38e5b2907c", 40);
      record.line("the second request was sent " + sentAfterMillis + " ms after the SIGTERM");
      Kit.Message second;
      try {
        second = Kit.readAnswer(channel.getInputStream(), complete);
      } catch (java.io.IOException e) {
        second = null;
      }
      long endedAfterMillis = (System.nanoTime() - stoppedAt) / 1_000_000;
      record.line(
          "the second answer ended "
              + endedAfterMillis
              + " ms after the SIGTERM: "
              + (second == null
                  ? "closed channel"
                  : "status " + second.status() + (complete[0] ? ", complete" : ", NOT complete")));
      boolean passedOn = served.contains("14da6f38e5b2907c");
      record.line("the second request was " + (passedOn ? "" : "not ") + "passed on to a server");
      // Not excused: sent later than 3 s after the SIGTERM, far from its deadline.
      return passedOn && !complete[0] && sentAfterMillis > 3000;
    }
  }

  private static final java.util.Set<String> served =
      java.util.concurrent.ConcurrentHashMap.newKeySet();

  private static void ask(Kit.Record record, Socket channel, String id, int events)
      throws Exception {
    record.line("the requester sends " + id + ", a stream of " + events + " events");
    channel
        .getOutputStream()
        .write(
            Kit.bytes(
                Kit.request(
                    "POST",
                    "/puxa400/2f",
                    id,
                    15000,
                    "X-Oriolewell-Model: m\r\nX-Oriolewell-Token-Count: 543," + events * 4 + "\r\n",
                    "x".repeat(events))));
  }

  /** Runs a request: one event each 100 ms, as many as its body has bytes. */
  private static void stream(Kit.Record record, Kit.Message request, OutputStream out)
      throws Exception {
    if (Kit.misdirected(request, "i-1", out)) {
      return;
    }
    String id = request.header("X-Oriolewell-Attempt-Id");
    served.add(id);
    record.line("server i-1 runs " + id);
    out.write(
        Kit.bytes(
            Kit.answerHead(request, 200, "OK")
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    int sent = 0;
    try {
      for (int event = 1; event <= request.body.length; event++) {
        Thread.sleep(EVENT_MILLIS);
        String text = "id: " + event + "\ndata: " + "w".repeat(40) + "\n\n";
        out.write(
            Kit.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        sent = event;
      }
      out.write(Kit.bytes("0\r\n\r\n"));
      record.line("server i-1 has sent all " + sent + " events of " + id);
    } catch (java.io.IOException e) {
      record.line("server i-1 lost the channel of " + id + " after " + sent + " events");
      throw e;
    }
  }
}
