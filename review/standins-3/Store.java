import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's store: items, changes, transactions and leases as PROTOCOL.md states
 * them. It loses nothing, answers at once and keeps its whole history.
 */
final class Store {
  private record Item(String key, String value, long revision, long created, long lease) {
    String json() {
      return String.format(
          "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":%d}",
          key, value, revision, created, lease);
    }
  }

  private record Change(long revision, String json) {}

  private static final class Lease {
    long ttlMillis;
    long endsAt;
  }

  private static final Pattern PUT =
      Pattern.compile(
          "\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}");
  private static final Pattern TTL = Pattern.compile("\"ttl_ms\":(\\d+)");

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 1;
  private long nextLease = 1;
  final Server server;

  Store() throws Exception {
    server = new Server(this::handle);
    Server.start("leases", this::endLeases);
  }

  String address() {
    return server.address();
  }

  /** Writes an item, as the operator or a server does; the return is the acknowledgement. */
  synchronized void put(String key, String json) {
    write(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
  }

  synchronized void delete(String key) {
    if (items.remove(key) != null) {
      revision++;
      changes.add(
          new Change(
              revision,
              String.format("{\"key\":\"%s\",\"revision\":%d,\"deleted\":true}", key, revision)));
      notifyAll();
    }
  }

  synchronized boolean has(String key) {
    return items.containsKey(key);
  }

  private void write(String key, String value, long lease) {
    revision++;
    Item old = items.get(key);
    Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
    items.put(key, item);
    changes.add(new Change(revision, item.json()));
    notifyAll();
  }

  private void endLeases() {
    while (true) {
      synchronized (this) {
        for (Long id : List.copyOf(leases.keySet())) {
          if (System.nanoTime() - leases.get(id).endsAt > 0) {
            endLease(id);
          }
        }
      }
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    items.values().stream()
        .filter(item -> item.lease() == id)
        .map(Item::key)
        .toList()
        .forEach(this::delete);
  }

  private void handle(Http.Message request, Server.Connection connection) throws Exception {
    String target = request.target();
    String path = target.split("\\?")[0];
    Map<String, String> query = query(target);
    switch (path) {
      case "/kv-range" -> connection.write(range(query));
      case "/kv-watch" -> connection.write(watch(query));
      case "/kv-txn" -> connection.write(transaction(request.text()));
      case "/kv-lease" -> connection.write(grant(request.text()));
      default -> connection.write(leaseCall(path));
    }
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int start = target.indexOf('?');
    if (start >= 0) {
      for (String pair : target.substring(start + 1).split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(
            parts[0],
            parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private static byte[] ok(String json) {
    return Http.bytes("200 OK", "Content-Type: application/json\r\n", json);
  }

  private synchronized byte[] range(Map<String, String> query) {
    List<String> found = new ArrayList<>();
    for (Item item : items.values()) {
      if (item.key().startsWith(query.getOrDefault("prefix", ""))
          && item.key().compareTo(query.getOrDefault("after", "")) > 0) {
        found.add(item.json());
      }
    }
    return ok(
        "{\"items\":["
            + String.join(",", found)
            + "],\"truncated\":false,\"store_revision\":"
            + revision
            + "}");
  }

  private synchronized byte[] watch(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long endsAt = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    while (revision <= after && System.nanoTime() - endsAt < 0) {
      wait(Math.max(1, (endsAt - System.nanoTime()) / 1_000_000));
    }
    List<String> events =
        changes.stream().filter(c -> c.revision() > after).map(Change::json).toList();
    return ok(
        "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}");
  }

  private synchronized byte[] transaction(String body) {
    Matcher puts = PUT.matcher(body);
    List<String[]> found = new ArrayList<>();
    while (puts.find()) {
      found.add(new String[] {puts.group(1), puts.group(2), puts.group(3)});
    }
    for (String[] put : found) {
      long lease = Long.parseLong(put[2]);
      if (lease != 0 && !leases.containsKey(lease)) {
        return Http.bytes("404 Not Found", "", "");
      }
    }
    found.forEach(put -> write(put[0], put[1], Long.parseLong(put[2])));
    return ok("{\"revision\":" + revision + "}");
  }

  private synchronized byte[] grant(String body) {
    Matcher ttl = TTL.matcher(body);
    Lease lease = new Lease();
    lease.ttlMillis = ttl.find() ? Long.parseLong(ttl.group(1)) : 10_000;
    lease.endsAt = System.nanoTime() + lease.ttlMillis * 1_000_000;
    leases.put(nextLease, lease);
    return ok("{\"lease\":" + nextLease++ + ",\"ttl_ms\":" + lease.ttlMillis + "}");
  }

  private synchronized byte[] leaseCall(String path) {
    long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    Lease lease = leases.get(id);
    if (lease == null) {
      return Http.bytes("404 Not Found", "", "");
    }
    if (path.startsWith("/kv-lease-end/")) {
      endLease(id);
    } else {
      lease.endsAt = System.nanoTime() + lease.ttlMillis * 1_000_000;
    }
    return ok("{}");
  }
}
