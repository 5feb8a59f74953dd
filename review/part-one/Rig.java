import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases share: the record, an HTTP server and client on plain sockets, a stand-in for the
 * platform's store (PROTOCOL.md, "The platform's metadata store"), and gateways that are started
 * with the command of deploy/system.toml. Everything listens on 127.0.0.1.
 */
final class Rig implements Closeable {
  /** Exit codes of a case. */
  static final int HELD = 0;

  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private final long startedAt = System.nanoTime();
  private final PrintStream record;
  private final Path folder;
  private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
  private final List<Closeable> servers = Collections.synchronizedList(new ArrayList<>());
  final Store store;

  Rig(Path recordFile) throws IOException {
    record = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
    folder = Files.createTempDirectory("oriolewell-review");
    store = new Store();
    Runtime.getRuntime().addShutdownHook(new Thread(this::stopProcesses));
  }

  /** Returns whether the disruption is on: TROUBLE=0 turns it off. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  long millis() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void log(String text) {
    record.printf(Locale.ROOT, "%8.3f  %s%n", millis() / 1000.0, text);
  }

  /** One HTTP request or response. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {
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

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException();
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a message; throws EOFException if the peer closes before its end. */
  static Message read(InputStream in) throws IOException {
    String firstLine = readLine(in);
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.merge(
          line.substring(0, colon).toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim(),
          (a, b) -> a + "," + b);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equals(headers.get("transfer-encoding"))) {
      for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
        body.write(exactly(in, size));
        readLine(in);
      }
      readLine(in);
    } else {
      body.write(exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
    }
    return new Message(firstLine, headers, body.toByteArray());
  }

  private static int chunkSize(InputStream in) throws IOException {
    return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException();
    }
    return bytes;
  }

  static byte[] answer(int status, String headers, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length
            + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Handles the requests of one connection. */
  interface Handler {
    void handle(Message request, Conn connection) throws Exception;
  }

  /** A connection that a server has accepted. */
  static final class Conn {
    final int number;
    final Socket socket;
    final Map<String, Object> state = new HashMap<>();

    Conn(int number, Socket socket) {
      this.number = number;
      this.socket = socket;
    }

    synchronized void write(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
    }
  }

  /** An HTTP server with one thread for each connection. */
  final class Server implements Closeable {
    private final ServerSocket listener;
    private final Handler handler;
    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
    private int connections;

    Server(Handler handler) throws IOException {
      this.handler = handler;
      listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
      servers.add(this);
      Thread acceptor = new Thread(this::accept);
      acceptor.setDaemon(true);
      acceptor.start();
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          sockets.add(socket);
          Conn connection = new Conn(++connections, socket);
          Thread thread = new Thread(() -> serve(connection));
          thread.setDaemon(true);
          thread.start();
        }
      } catch (IOException e) {
        // The server was closed.
      }
    }

    private void serve(Conn connection) {
      try (Socket socket = connection.socket) {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        while (true) {
          handler.handle(read(in), connection);
        }
      } catch (Exception e) {
        // The peer has closed the connection.
      } finally {
        sockets.remove(connection.socket);
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (Socket socket : List.copyOf(sockets)) {
        socket.close();
      }
    }
  }

  /** Stand-in for the platform's store. */
  final class Store {
    private record Item(String key, String value, long revision, long created, long lease) {
      String json() {
        return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + revision
            + ",\"created\":" + created + ",\"lease\":" + lease + "}";
      }
    }

    private record Change(long revision, String json) {}

    private static final Pattern PUT =
        Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)}");

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTimes = new HashMap<>();
    private final Server server;
    private long revision = 100;
    private long lastLease = 1000;

    Store() throws IOException {
      server = new Server(this::handle);
      Thread expiry = new Thread(this::expire);
      expiry.setDaemon(true);
      expiry.start();
    }

    String address() {
      return server.address();
    }

    void put(String key, String json) {
      put(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
    }

    private synchronized void put(String key, String value, long lease) {
      Item before = items.get(key);
      long created = before == null ? revision + 1 : before.created();
      Item item = new Item(key, value, ++revision, created, lease);
      items.put(key, item);
      changes.add(new Change(revision, item.json()));
      notifyAll();
    }

    synchronized void delete(String key) {
      if (items.remove(key) != null) {
        changes.add(
            new Change(
                ++revision,
                "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"));
        notifyAll();
      }
    }

    synchronized long count(String prefix) {
      return items.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    private void expire() {
      try {
        while (true) {
          Thread.sleep(100);
          synchronized (this) {
            for (Long lease : List.copyOf(leaseEnds.keySet())) {
              if (leaseEnds.get(lease) < millis()) {
                endLease(lease);
              }
            }
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private synchronized void endLease(long lease) {
      leaseEnds.remove(lease);
      List.copyOf(items.values()).stream()
          .filter(item -> item.lease() == lease)
          .forEach(item -> delete(item.key()));
    }

    private void handle(Message request, Conn connection) throws Exception {
      String target = request.target();
      String path = target.split("\\?")[0];
      Map<String, String> query = new HashMap<>();
      if (target.contains("?")) {
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
          String[] pair = part.split("=", 2);
          query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
      }
      String type = "Content-Type: application/json\r\n";
      if (path.equals("/kv-range")) {
        connection.write(answer(200, type, range(query)));
      } else if (path.equals("/kv-watch")) {
        connection.write(answer(200, type, watch(query)));
      } else if (path.equals("/kv-lease")) {
        Matcher ttl = Pattern.compile("\"ttl_ms\":(\\d+)").matcher(request.text());
        long millis = ttl.find() ? Long.parseLong(ttl.group(1)) : 10_000;
        long lease = grant(millis);
        connection.write(
            answer(200, type, "{\"lease\":" + lease + ",\"ttl_ms\":" + millis + "}"));
      } else if (path.startsWith("/kv-keep/")) {
        boolean kept = keep(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
        connection.write(answer(kept ? 200 : 404, type, "{}"));
      } else if (path.startsWith("/kv-lease-end/")) {
        endLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
        connection.write(answer(200, type, "{}"));
      } else if (path.equals("/kv-txn")) {
        long written = commit(request.text());
        connection.write(
            written < 0
                ? answer(404, type, "{}")
                : answer(200, type, "{\"revision\":" + written + "}"));
      } else {
        connection.write(answer(404, type, "{}"));
      }
    }

    private synchronized long grant(long millis) {
      leaseEnds.put(++lastLease, millis() + millis);
      leaseTimes.put(lastLease, millis);
      return lastLease;
    }

    private synchronized boolean keep(long lease) {
      return leaseEnds.replace(lease, millis() + leaseTimes.getOrDefault(lease, 0L)) != null;
    }

    private synchronized long commit(String transaction) {
      Matcher put = PUT.matcher(transaction);
      while (put.find()) {
        long lease = Long.parseLong(put.group(3));
        if (lease != 0 && !leaseEnds.containsKey(lease)) {
          return -1;
        }
        put(put.group(1), put.group(2), lease);
      }
      int deletes = transaction.indexOf("\"delete\":[");
      if (deletes >= 0) {
        Matcher key = Pattern.compile("\"([^\"]+)\"").matcher(transaction.substring(deletes + 10));
        while (key.find()) {
          delete(key.group(1));
        }
      }
      return revision;
    }

    private synchronized String range(Map<String, String> query) {
      String prefix = query.getOrDefault("prefix", "");
      String after = query.getOrDefault("after", "");
      List<String> found =
          items.values().stream()
              .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
              .map(Item::json)
              .toList();
      return "{\"items\":[" + String.join(",", found) + "],\"truncated\":false,\"store_revision\":"
          + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
      long after = Long.parseLong(query.get("after"));
      long until = millis() + Long.parseLong(query.get("wait_ms"));
      while (true) {
        List<String> found =
            changes.stream().filter(c -> c.revision() > after).map(Change::json).toList();
        if (!found.isEmpty() || millis() >= until) {
          return "{\"events\":[" + String.join(",", found) + "],\"store_revision\":" + revision
              + "}";
        }
        wait(Math.max(1, until - millis()));
      }
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** A gateway in a process of its own. */
  static final class Gateway {
    final String name;
    final int callers;
    final int ready;
    final int peers;
    final Path settings;
    final String storeAddress;
    Process process;

    Gateway(String name, int callers, int ready, int peers, Path settings, String storeAddress) {
      this.name = name;
      this.callers = callers;
      this.ready = ready;
      this.peers = peers;
      this.settings = settings;
      this.storeAddress = storeAddress;
    }

    long pid() {
      return process.pid();
    }
  }

  /** Starts a gateway with the command and the template of the deploy file. */
  Gateway startGateway(String name, String zone, String zones, String storeAddress)
      throws Exception {
    int callers = freePort();
    int ready = freePort();
    int peers = freePort();
    Path settings = folder.resolve(name + ".toml");
    Files.writeString(
        settings,
        "[gateway]\nname = \"" + name + "\"\nzone = \"" + zone + "\"\nregion = \"north\"\nzones = ["
            + zones + "]\n[callers]\naddress = \"127.0.0.1:" + callers
            + "\"\n[operators]\naddress = \"127.0.0.1:" + ready
            + "\"\nready_path = \"/readiness\"\n[peers]\naddress = \"127.0.0.1:" + peers
            + "\"\n[store]\naddress = \"" + storeAddress
            + "\"\n[keys]\nrevocation_millis = 5000\n[stop]\ntimeout_millis = 8000\n[retries]\n"
            + "ratio = 0.2\nslack = 52\nwindow_seconds = 10\n");
    Gateway gateway = new Gateway(name, callers, ready, peers, settings, storeAddress);
    launch(gateway);
    return gateway;
  }

  void launch(Gateway gateway) throws Exception {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no command to run");
    }
    List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
    command.replaceAll(
        word -> word.equals("/etc/oriolewell/boot.toml") ? gateway.settings.toString() : word);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("ORIOLEWELL_CONFIG", gateway.settings.toString());
    Path output = folder.resolve(gateway.name + "-" + millis() + ".log");
    builder.redirectErrorStream(true).redirectOutput(output.toFile());
    gateway.process = builder.start();
    processes.add(gateway.process);
    log("gateway " + gateway.name + " started");
  }

  /** Waits until a gateway says that it is ready; returns whether it does within 20 s. */
  boolean awaitReady(Gateway gateway) throws Exception {
    for (int i = 0; i < 200; i++) {
      try (Socket socket = open(gateway.ready)) {
        socket.getOutputStream().write("GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
        if (read(socket.getInputStream()).status() == 200) {
          log("gateway " + gateway.name + " is ready");
          return true;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(100);
    }
    return false;
  }

  static Socket open(int port) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
    return socket;
  }

  void signal(Gateway gateway, String signal) throws Exception {
    log("SIG" + signal + " to " + gateway.name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(gateway.pid())).start().waitFor();
  }

  private static final AtomicLong NEXT_ID = new AtomicLong(0x9c41d07b00000000L);

  static String newId() {
    return Long.toHexString(NEXT_ID.incrementAndGet());
  }

  private void stopProcesses() {
    processes.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws IOException {
    stopProcesses();
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    for (Closeable server : List.copyOf(servers)) {
      server.close();
    }
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    } else {
      System.err.println(folder);
    }
    record.close();
  }
}
