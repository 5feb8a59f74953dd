import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store, as far as a gateway calls it. Its leases end only when they are ended. */
final class Store {
  private static final Pattern PUT =
      Pattern.compile("\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)");
  private static final Pattern DELETED = Pattern.compile("\"delete\":\\[\"([^\"]*)\"\\]");

  private record Item(String json, long lease) {}

  private record Event(long revision, String json) {}

  private final HttpServer server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private long revision = 1;
  private long lastLease;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
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

  /** Writes a key. */
  void put(String key, String value) {
    put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
  }

  private synchronized void put(String key, String base64, long lease) {
    revision++;
    String json =
        "{\"key\":\"" + key + "\",\"value\":\"" + base64 + "\",\"revision\":" + revision
            + ",\"created\":" + revision + ",\"lease\":" + lease + "}";
    items.put(key, new Item(json, lease));
    events.add(new Event(revision, json));
    notifyAll();
  }

  /** Removes a key. */
  synchronized void delete(String key) {
    if (items.remove(key) != null) {
      revision++;
      String json =
          "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}";
      events.add(new Event(revision, json));
      notifyAll();
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String path = exchange.getRequestURI().getPath();
      String reply = "{}";
      if (path.equals("/kv-range")) {
        reply = range();
      } else if (path.equals("/kv-watch")) {
        reply = watch(query(exchange.getRequestURI().getRawQuery()));
      } else if (path.equals("/kv-lease")) {
        synchronized (this) {
          reply = "{\"lease\":" + ++lastLease + ",\"ttl_ms\":10000}";
        }
      } else if (path.equals("/kv-txn")) {
        reply = commit(body);
      } else if (path.startsWith("/kv-lease-end/")) {
        endLease(Long.parseLong(path.substring("/kv-lease-end/".length())));
      }
      byte[] bytes = reply.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().add("Content-Type", "application/json");
      exchange.sendResponseHeaders(200, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static Map<String, String> query(String rawQuery) {
    Map<String, String> parameters = new HashMap<>();
    for (String pair : rawQuery.split("&")) {
      String[] parts = pair.split("=", 2);
      parameters.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
    }
    return parameters;
  }

  private synchronized String range() {
    List<String> texts = items.values().stream().map(Item::json).toList();
    return "{\"items\":[" + String.join(",", texts) + "],\"truncated\":false,\"store_revision\":"
        + revision + "}";
  }

  private synchronized String watch(Map<String, String> parameters) throws InterruptedException {
    long after = Long.parseLong(parameters.get("after"));
    long dueAt = System.nanoTime() + Long.parseLong(parameters.get("wait_ms")) * 1_000_000;
    while (true) {
      List<String> texts =
          events.stream().filter(e -> e.revision() > after).map(Event::json).toList();
      long millis = (dueAt - System.nanoTime()) / 1_000_000;
      if (!texts.isEmpty() || millis <= 0) {
        return "{\"events\":[" + String.join(",", texts) + "],\"store_revision\":" + revision + "}";
      }
      wait(millis);
    }
  }

  private synchronized String commit(String body) {
    Matcher put = PUT.matcher(body);
    while (put.find()) {
      put(put.group(1), put.group(2), Long.parseLong(put.group(3)));
    }
    Matcher deleted = DELETED.matcher(body);
    if (deleted.find()) {
      delete(deleted.group(1));
    }
    return "{\"revision\":" + revision + "}";
  }

  private synchronized void endLease(long lease) {
    List<String> ended =
        items.entrySet().stream()
            .filter(item -> item.getValue().lease() == lease)
            .map(Map.Entry::getKey)
            .toList();
    ended.forEach(this::delete);
  }
}
