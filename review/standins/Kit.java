import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: a store, servers, a requester, the start of a gateway, and the record. */
final class Kit {
  static final String KEY = "9dnn2ctnfzs989anu6ws";
  static final String HOST = "pule25.example";

  /** Longest time that a case may run. */
  private static final int MAX_RUN_MILLIS = 110_000;

  private Kit() {}

  // ---------------------------------------------------------------- record

  /** The record of a run: what was sent, answered and run. */
  static final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
      String stamped =
          String.format("%8.3f  %s", (System.nanoTime() - startedAt) / 1e9, text);
      out.println(stamped);
      System.out.println(stamped);
    }

    @Override
    public synchronized void close() {
      out.close();
    }
  }

  // ---------------------------------------------------------------- store

  /** The platform's store, as PROTOCOL.md describes it. */
  static final class Store {
    private record Item(String value, long revision, long created, long lease) {}

    private record Event(long revision, String json) {}

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTimes = new HashMap<>();
    private final AtomicLong nextLease = new AtomicLong(1);
    private long revision = 10;

    Store() throws IOException {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
      server.setExecutor(
          Executors.newCachedThreadPool(
              task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
              }));
      server.createContext("/", this::handle);
      server.start();
    }

    String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a key, as the operator or a server does. */
    void put(String key, String text) {
      put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }

    private synchronized void put(String key, String value, long lease) {
      revision++;
      Item former = items.get(key);
      Item item = new Item(value, revision, former == null ? revision : former.created, lease);
      items.put(key, item);
      events.add(new Event(revision, json(key, item)));
      notifyAll();
    }

    synchronized void delete(String key) {
      if (items.remove(key) != null) {
        revision++;
        events.add(
            new Event(
                revision,
                "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"));
        notifyAll();
      }
    }

    private static String json(String key, Item item) {
      return String.format(
          "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":%d}",
          key, item.value, item.revision, item.created, item.lease);
    }

    private void handle(HttpExchange exchange) throws IOException {
      String path = exchange.getRequestURI().getPath();
      String query = String.valueOf(exchange.getRequestURI().getQuery());
      String body =
          new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      try {
        endLeases();
        if (path.equals("/kv-range")) {
          reply(exchange, 200, range(parameter(query, "prefix"), parameter(query, "after")));
        } else if (path.equals("/kv-watch")) {
          reply(
              exchange,
              200,
              watch(
                  parameter(query, "prefix"),
                  Long.parseLong(parameter(query, "after")),
                  Long.parseLong(parameter(query, "wait_ms"))));
        } else if (path.equals("/kv-lease")) {
          long ttl = number(body, "ttl_ms");
          long lease = nextLease.getAndIncrement();
          synchronized (this) {
            leaseTimes.put(lease, ttl);
            leaseEnds.put(lease, System.nanoTime() + ttl * 1_000_000);
          }
          reply(exchange, 200, "{\"lease\":" + lease + ",\"ttl_ms\":" + ttl + "}");
        } else if (path.startsWith("/kv-keep/")) {
          reply(exchange, keep(Long.parseLong(path.substring(9))) ? 200 : 404, "{}");
        } else if (path.startsWith("/kv-lease-end/")) {
          endLease(Long.parseLong(path.substring(14)));
          reply(exchange, 200, "{}");
        } else if (path.equals("/kv-txn")) {
          transact(exchange, body);
        } else {
          reply(exchange, 404, "{}");
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        exchange.close();
      }
    }

    private synchronized boolean keep(long lease) {
      if (!leaseEnds.containsKey(lease)) {
        return false;
      }
      leaseEnds.put(lease, System.nanoTime() + leaseTimes.get(lease) * 1_000_000);
      return true;
    }

    private synchronized void endLeases() {
      long now = System.nanoTime();
      List.copyOf(leaseEnds.keySet()).stream()
          .filter(lease -> leaseEnds.get(lease) < now)
          .forEach(this::endLease);
    }

    private synchronized void endLease(long lease) {
      if (leaseEnds.remove(lease) != null) {
        List.copyOf(items.keySet()).stream()
            .filter(key -> items.get(key).lease == lease)
            .forEach(this::delete);
      }
    }

    private void transact(HttpExchange exchange, String body) throws IOException {
      Matcher put =
          Pattern.compile(
                  "\\{\"key\":\"([^\"]+)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}")
              .matcher(body);
      while (put.find()) {
        long lease = Long.parseLong(put.group(3));
        synchronized (this) {
          if (lease != 0 && !leaseEnds.containsKey(lease)) {
            reply(exchange, 404, "{}");
            return;
          }
        }
        put(put.group(1), put.group(2), lease);
      }
      reply(exchange, 200, "{\"revision\":" + revision() + "}");
    }

    private synchronized long revision() {
      return revision;
    }

    private synchronized String range(String prefix, String after) {
      List<String> found = new ArrayList<>();
      items.forEach(
          (key, item) -> {
            if (key.startsWith(prefix) && key.compareTo(after) > 0) {
              found.add(json(key, item));
            }
          });
      return "{\"items\":["
          + String.join(",", found)
          + "],\"truncated\":false,\"store_revision\":"
          + revision
          + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis)
        throws InterruptedException {
      long dueAt = System.nanoTime() + waitMillis * 1_000_000;
      List<String> found = new ArrayList<>();
      while (true) {
        for (Event event : events) {
          if (event.revision > after && event.json.startsWith("{\"key\":\"" + prefix)) {
            found.add(event.json);
          }
        }
        long leftMillis = (dueAt - System.nanoTime()) / 1_000_000;
        if (!found.isEmpty() || leftMillis <= 0) {
          return "{\"events\":["
              + String.join(",", found)
              + "],\"store_revision\":"
              + revision
              + "}";
        }
        wait(Math.max(1, leftMillis));
      }
    }

    private static String parameter(String query, String name) {
      for (String part : query.split("&")) {
        if (part.startsWith(name + "=")) {
          return part.substring(name.length() + 1);
        }
      }
      return "";
    }

    private static long number(String json, String field) {
      Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(json);
      return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private static void reply(HttpExchange exchange, int status, String json) throws IOException {
      byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  // ---------------------------------------------------------------- messages

  /** An HTTP message that was read from a channel. */
  static final class Message {
    String firstLine = "";
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String path() {
      return firstLine.split(" ")[1];
    }
  }

  /** Reads the head of a message; null if the channel ends before it. */
  static Message readHead(InputStream in) throws IOException {
    Message message = new Message();
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    message.firstLine = line;
    while (true) {
      line = readLine(in);
      if (line == null) {
        throw new EOFException("the channel ended within a head");
      }
      if (line.isEmpty()) {
        return message;
      }
      int colon = line.indexOf(':');
      message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b = in.read();
    if (b < 0) {
      return null;
    }
    while (b >= 0 && b != '\n') {
      if (b != '\r') {
        line.write(b);
      }
      b = in.read();
    }
    if (b < 0) {
      throw new EOFException("the channel ended within a line");
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a request with a length; null if the channel ends before it. */
  static Message readRequest(InputStream in) throws IOException {
    Message request = readHead(in);
    if (request != null && !request.header("Content-Length").isEmpty()) {
      request.body = in.readNBytes(Integer.parseInt(request.header("Content-Length")));
    }
    return request;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  // ---------------------------------------------------------------- servers

  /** Answers the requests of one channel of a server; it may keep state for the channel. */
  interface ChannelHandler {
    void handle(Message request, OutputStream out, Socket channel) throws Exception;
  }

  /** Creates the handler of a new channel. */
  interface Service {
    ChannelHandler open();
  }

  /** Starts a server on a free port of the loopback address; each channel has a thread. */
  static ServerSocket startServer(int port, Service service) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
    daemon(
        () -> {
          while (true) {
            Socket channel = listener.accept();
            channel.setTcpNoDelay(true);
            ChannelHandler handler = service.open();
            daemon(
                () -> {
                  try (channel) {
                    Message request = readRequest(channel.getInputStream());
                    while (request != null) {
                      handler.handle(request, channel.getOutputStream(), channel);
                      request = channel.isClosed() ? null : readRequest(channel.getInputStream());
                    }
                  } catch (IOException e) {
                    // The other side closed the channel.
                  }
                });
          }
        });
    return listener;
  }

  /** The head of a server's answer, without its end. */
  static String answerHead(Message request, int status, String reason) {
    return "HTTP/1.1 "
        + status
        + " "
        + reason
        + "\r\nX-Oriolewell-Attempt-Id: "
        + request.header("X-Oriolewell-Attempt-Id")
        + "\r\nX-Oriolewell-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
  }

  /** Answers 421 if the request is for another server; returns whether it did. */
  static boolean misdirected(Message request, String id, OutputStream out) throws IOException {
    String expected = request.header("X-Oriolewell-Expect-Instance");
    if (expected.isEmpty() || expected.equals(id)) {
      return false;
    }
    out.write(
        bytes(
            "HTTP/1.1 421 Misdirected Request\r\nX-Oriolewell-Attempt-Id: "
                + request.header("X-Oriolewell-Attempt-Id")
                + "\r\nX-Oriolewell-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
    return true;
  }

  static String serverEntry(String service, int port, int slots, String state, int sequence) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\",\"version\":\"v1\","
            + "\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"sequence\":%d,"
            + "\"born\":1700000000000}",
        service, port, slots, state, sequence);
  }

  // ---------------------------------------------------------------- manifest

  static String route(
      String segment, String kind, String service, int timeoutMillis, int attempts, String more) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout_ms\":%d,"
            + "\"target_latency_ms\":1600,\"priority\":2,\"service\":\"%s\",\"max_attempts\":%d,"
            + "\"target_gap_ms\":250%s}",
        segment, HOST, segment, kind, timeoutMillis, service, attempts, more);
  }

  static String manifest(int version, String routes, String services) {
    return String.format(
        "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"%s\"]}]}",
        version, routes, services, KEY);
  }

  // ---------------------------------------------------------------- gateway

  /** A gateway that runs as a process of its own, started as the deploy file says. */
  static final class Gateway implements AutoCloseable {
    final Process process;
    final int callersPort;
    private final int readyPort;

    Gateway(Path repository, Path folder, String storeAddress, Map<String, String> fields)
        throws IOException {
      callersPort = freePort();
      readyPort = freePort();
      Path settings = folder.resolve("gateway-" + callersPort + ".toml");
      String text = Files.readString(repository.resolve("deploy/gateway.toml"));
      text =
          text.replace("{{#zones}}\"{{@}}={{.}}\"{{,}}{{/zones}}", "\"z1=r1\"")
              .replace("{{node_name}}", "front-z1-1")
              .replace("{{zone}}", "z1")
              .replace("{{region}}", "r1")
              .replace("{{listen.front}}", "127.0.0.1:" + callersPort)
              .replace("{{listen.ready}}", "127.0.0.1:" + readyPort)
              .replace("{{ip}}:{{internal_ports.0}}", "127.0.0.1:" + freePort())
              .replace("{{platform.address}}", storeAddress)
              .replace("{{bounds.revoke_ms}}", "5000")
              .replace("{{bounds.grace_s}}", "8")
              .replace("{{bounds.retry_budget_ratio}}", "0.2")
              .replace("{{bounds.retry_slack}}", "52")
              .replace("{{bounds.budget_window_s}}", "10");
      for (Map.Entry<String, String> field : fields.entrySet()) {
        text = text.replace(field.getKey(), field.getValue());
      }
      if (text.contains("{{")) {
        throw new IOException("the template has a field that this case doesn't fill in");
      }
      Files.writeString(settings, text);
      Matcher run =
          Pattern.compile("(?m)^run = \"(.*)\"$")
              .matcher(Files.readString(repository.resolve("deploy/system.toml")));
      if (!run.find()) {
        throw new IOException("deploy/system.toml has no run command");
      }
      List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
      words.replaceAll(word -> word.equals("/etc/oriolewell/boot.toml") ? settings.toString() : word);
      ProcessBuilder builder =
          new ProcessBuilder(words)
              .directory(repository.toFile())
              .redirectErrorStream(true)
              .redirectOutput(folder.resolve("gateway-" + callersPort + ".log").toFile());
      process = startChild(builder);
    }

    /** Waits until the gateway says that it is ready. */
    void awaitReady() throws Exception {
      long dueAt = System.nanoTime() + 30_000_000_000L;
      while (System.nanoTime() < dueAt && process.isAlive()) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), readyPort)) {
          socket.setSoTimeout(1000);
          socket
              .getOutputStream()
              .write(bytes("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
          Message answer = readHead(socket.getInputStream());
          if (answer != null && answer.status() == 200) {
            return;
          }
        } catch (IOException e) {
          // It doesn't listen yet.
        }
        Thread.sleep(50);
      }
      throw new IOException("the gateway was not ready within 30 s");
    }

    Socket connect() throws IOException {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), callersPort);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(20_000);
      return socket;
    }

    /** Sends SIGTERM. */
    void terminate() {
      process.destroy();
    }

    @Override
    public void close() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Starts a process that ends with this one at the latest. */
  static Process startChild(ProcessBuilder builder) throws IOException {
    Process child = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(child::destroyForcibly));
    return child;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** A request of a requester. */
  static String request(
      String method, String target, String id, int deadlineMillis, String headers, String body) {
    return method
        + " "
        + target
        + " HTTP/1.1\r\nHost: "
        + HOST
        + "\r\nX-Oriolewell-Attempt-Id: "
        + id
        + "\r\nX-Oriolewell-Request-Deadline: "
        + deadlineMillis
        + "\r\nAuthorization: Bearer "
        + KEY
        + "\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Reads an answer with a length or in chunks; a chunked one is complete with its last chunk. */
  static Message readAnswer(InputStream in, boolean[] complete) throws IOException {
    complete[0] = false;
    Message answer = readHead(in);
    if (answer == null) {
      return null;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      if (answer.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
        while (true) {
          String sizeLine = readLine(in);
          if (sizeLine == null) {
            break;
          }
          int size = Integer.parseInt(sizeLine.trim(), 16);
          byte[] chunk = in.readNBytes(size);
          body.write(chunk);
          if (chunk.length < size) {
            break;
          }
          readLine(in);
          if (size == 0) {
            complete[0] = true;
            break;
          }
        }
      } else {
        int length = Integer.parseInt(answer.headers.getOrDefault("Content-Length", "0"));
        body.write(in.readNBytes(length));
        complete[0] = body.size() == length;
      }
    } catch (IOException e) {
      // The channel ended; the answer isn't complete.
    }
    answer.body = body.toByteArray();
    return answer;
  }

  // ---------------------------------------------------------------- threads

  interface Task {
    void run() throws Exception;
  }

  static Thread daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                System.err.println("a stand-in's thread ended: " + e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Runs a case and ends the process with its result: 0 held, 1 broken, 2 could not run. */
  interface Case {
    /** Returns whether the rule was broken. */
    boolean run(Record record, Path repository, Path folder, boolean trouble) throws Exception;
  }

  static void main(String[] args, Case body) throws IOException {
    Path repository = Path.of(args[0]).toAbsolutePath();
    Path folder = Path.of(args[1]).toAbsolutePath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    daemon(
        () -> {
          Thread.sleep(MAX_RUN_MILLIS);
          System.err.println("the case did not end in time");
          System.exit(2);
        });
    try (Record record = new Record(Path.of(args[2]))) {
      record.line(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
      try {
        boolean broken = body.run(record, repository, folder, trouble);
        record.line(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
        status = broken ? 1 : 0;
      } catch (Exception e) {
        record.line("RESULT: the case could not run: " + e);
        e.printStackTrace();
      }
    }
    System.exit(status);
  }
}
