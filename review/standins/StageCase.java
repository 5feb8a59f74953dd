import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One of two stage servers sends one of its answers a second time, late, in the time of the next call
 * on the channel.
 */
final class StageCase {
  /** Pieces of each request: one full call. */
  private static final int PIECES = 7;

  private static final int CALL_MILLIS = 278;
  private static final int REQUESTS = 44;
  private static final int REQUEST_INTERVAL_MILLIS = 150;

  /** Number of the first call that the faulty server may answer twice. */
  private static final int FIRST_REPEATED_CALL = 12;

  private static final Pattern ITEM =
      Pattern.compile("\\{\"id\":\"([^\"]+)\",\"stage\":(\\d+),\"piece\":(\\d+)");
  private static final Pattern HANDLE = Pattern.compile("\"([0-9.]+:\\d+/[0-9a-f]+)\"");

  private static final Map<String, String> requestByHandle = new ConcurrentHashMap<>();
  private static final Set<String> freed = ConcurrentHashMap.newKeySet();
  private static final AtomicInteger nextHandle = new AtomicInteger(0x91bd3f0);
  private static final AtomicInteger nextChannel = new AtomicInteger();
  private static final AtomicBoolean repeated = new AtomicBoolean();
  private static final AtomicInteger answers = new AtomicInteger();
  private static final List<String> violations = new CopyOnWriteArrayList<>();

  public static void main(String[] args) throws Exception {
    Kit.main(args, StageCase::run);
  }

  private static boolean run(Kit.Record record, Path repository, Path folder, boolean trouble)
      throws Exception {
    Kit.Store store = new Kit.Store();
    for (int i = 2; i <= 3; i++) {
      String id = "i-" + i;
      boolean faulty = trouble && i == 2;
      AtomicInteger port = new AtomicInteger();
      AtomicInteger calls = new AtomicInteger();
      port.set(
          Kit.startServer(
                  0,
                  () -> {
                    StageChannel state = new StageChannel(id, port, calls, faulty);
                    return (request, out, channel) -> state.handle(record, request, out);
                  })
              .getLocalPort());
      store.put("servers/" + id, Kit.serverEntry("crew-roster", port.get(), 1, "ready", 1));
    }
    ServerSocket engine =
        Kit.startServer(0, () -> (request, out, channel) -> engine(record, request, out));
    store.put(
        "op/config",
        Kit.manifest(
            7,
            Kit.route(
                "puxa400",
                "streaming",
                "oriole-pool",
                6000,
                1,
                ",\"stages\":[{\"service\":\"crew-roster\",\"after\":[],\"bytes\":8000}]"),
            "{\"name\":\"oriole-pool\",\"engine\":{}},{\"name\":\"crew-roster\",\"pieces\":{"
                + "\"slots\":1,\"queue\":2,\"batch\":7,\"call_ms\":150.0,\"item_ms\":18.2857,"
                + "\"headroom_mb\":37.625,\"handle_ttl_s\":4.0,\"link_mbps\":10000.0}}"));
    store.put("servers/i-1", Kit.serverEntry("oriole-pool", engine.getLocalPort(), 128, "ready", 1));
    try (Kit.Gateway gateway = new Kit.Gateway(repository, folder, store.address(), Map.of())) {
      gateway.awaitReady();
      List<Thread> requesters = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        requesters.add(ask(record, gateway, String.format("%016x", 0xe5b2907c14da0000L + i)));
        Thread.sleep(REQUEST_INTERVAL_MILLIS);
      }
      for (Thread requester : requesters) {
        requester.join();
      }
    }
    record.line("the stage servers gave " + answers + " answers, and one of them twice: " + repeated);
    violations.forEach(record::line);
    return !violations.isEmpty();
  }

  private static Thread ask(Kit.Record record, Kit.Gateway gateway, String id) {
    return Kit.daemon(
        () -> {
          try (Socket channel = gateway.connect()) {
            record.line("the requester sends " + id);
            channel
                .getOutputStream()
                .write(
                    Kit.bytes(
                        Kit.request(
                            "POST",
                            "/puxa400/2f",
                            id,
                            6000,
                            "X-Oriolewell-Model: m\r\nX-Oriolewell-Token-Count: 543,40\r\n"
                                + "X-Oriolewell-Pieces: "
                                + PIECES
                                + "\r\nX-Oriolewell-Piece-Key: 7c1e"
                                + id.substring(8)
                                + "\r\n",
                            "prompt")));
            boolean[] complete = new boolean[1];
            Kit.Message answer = Kit.readAnswer(channel.getInputStream(), complete);
            record.line(
                "the requester has the answer to "
                    + id
                    + ": "
                    + (answer == null
                        ? "closed channel"
                        : answer.status() + (complete[0] ? ", complete" : ", not complete")));
          }
        });
  }

  /** One channel of a stage server. */
  private static final class StageChannel {
    private final String server;
    private final AtomicInteger port;
    private final AtomicInteger calls;
    private final boolean faulty;
    private final int channelNumber = nextChannel.incrementAndGet();
    private String formerAnswer = "";

    private StageChannel(String server, AtomicInteger port, AtomicInteger calls, boolean faulty) {
      this.server = server;
      this.port = port;
      this.calls = calls;
      this.faulty = faulty;
    }

    private void handle(Kit.Record record, Kit.Message request, OutputStream out) throws Exception {
      if (Kit.misdirected(request, server, out)) {
        return;
      }
      if (request.path().equals("/stage-free")) {
        Matcher handles = HANDLE.matcher(request.text());
        while (handles.find()) {
          freed.add(handles.group(1));
        }
        record.line("stage server " + server + " frees results, on channel " + channelNumber);
        out.write(Kit.bytes(json(request, "")));
        formerAnswer = "";
        return;
      }
      long startedAt = System.nanoTime();
      int call = calls.incrementAndGet();
      StringBuilder items = new StringBuilder();
      Set<String> requests = new TreeSet<>();
      Matcher matcher = ITEM.matcher(request.text());
      while (matcher.find()) {
        String handle =
            "127.0.0.1:" + port + "/" + Integer.toHexString(nextHandle.incrementAndGet());
        requestByHandle.put(handle, matcher.group(1));
        requests.add(matcher.group(1));
        items
            .append(items.length() == 0 ? "" : ",")
            .append("{\"handle\":\"")
            .append(handle)
            .append("\"}");
      }
      record.line("stage server " + server + " gets call " + call + " on channel " + channelNumber + ", pieces of " + requests);
      if (faulty
          && call > FIRST_REPEATED_CALL
          && !formerAnswer.isEmpty()
          && repeated.compareAndSet(false, true)) {
        sleepUntil(startedAt, CALL_MILLIS - 60);
        record.line(
            "stage server " + server + " sends its former answer once more, late: the fault");
        out.write(Kit.bytes(formerAnswer));
      }
      sleepUntil(startedAt, CALL_MILLIS);
      answers.incrementAndGet();
      formerAnswer = json(request, "{\"items\":[" + items + "]}");
      record.line("stage server " + server + " answers call " + call);
      out.write(Kit.bytes(formerAnswer));
    }
  }

  private static void sleepUntil(long startedAt, long millis) throws InterruptedException {
    long left = millis - (System.nanoTime() - startedAt) / 1_000_000;
    if (left > 0) {
      Thread.sleep(left);
    }
  }

  private static String json(Kit.Message request, String body) {
    String id = request.header("X-Oriolewell-Attempt-Id");
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        + (id.isEmpty() ? "" : "X-Oriolewell-Attempt-Id: " + id + "\r\n")
        + "X-Oriolewell-Server-Load: 0,0,1\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static void engine(Kit.Record record, Kit.Message request, OutputStream out)
      throws Exception {
    if (Kit.misdirected(request, "i-1", out)) {
      return;
    }
    String id = request.header("X-Oriolewell-Attempt-Id");
    String inputs = request.header("X-Oriolewell-Inputs");
        boolean gone = inputs.isEmpty();
    for (String handle : inputs.split(",")) {
      String owner = requestByHandle.get(handle);
      if (owner != null && !owner.equals(id)) {
        violations.add(
            "MIXED: request " + id + " is given input " + handle + ", made for request " + owner);
      }
      gone |= owner == null || freed.contains(handle);
    }
    if (gone) {
      record.line("server i-1 answers " + id + " with 409: an input is gone");
      out.write(
          Kit.bytes(
              "HTTP/1.1 409 Conflict\r\nX-Oriolewell-Attempt-Id: "
                  + id
                  + "\r\nX-Oriolewell-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
      return;
    }
    out.write(
        Kit.bytes(
            Kit.answerHead(request, 200, "OK")
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    for (int event = 1; event <= 10; event++) {
      Thread.sleep(event == 1 ? 110 : 20);
      String text = "id: " + event + "\ndata: " + "w".repeat(40) + "\n\n";
      out.write(Kit.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
    }
    out.write(Kit.bytes("0\r\n\r\n"));
  }
}
