package org.oriolewell.agent;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.log.EventLog;

/** Stands for the key-value service, with outages and lost answers. */
final class FakeStore implements AutoCloseable {
  private record Entry(long revision, byte[] value) {}

  /** Whether every call is answered with an error and has no effect. */
  volatile boolean away;

  /** Number of writes to come that take effect without an answer. */
  final AtomicInteger lostAnswers = new AtomicInteger();

  /** Number of writes that arrived. */
  final AtomicInteger writes = new AtomicInteger();

  private final Map<String, Entry> entries = new HashMap<>();
  private final JsonServer server;

  private FakeStore() {
    server =
        JsonServer.of(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            2 << 20,
            EventLog.of("fake-store", InstantSource.system()));
    String path = "/v1/kv";
    String[] names = {"a", "b", "c", "d", "e"};
    for (int i = 0; i < names.length; i++) {
      path += "/{" + names[i] + "}";
      int count = i + 1;
      server.route("GET", path, call -> get(key(call, names, count)));
      server.route("PUT", path, call -> put(key(call, names, count), call));
    }
    server.start("fake-store");
  }

  static FakeStore start() {
    return new FakeStore();
  }

  private static String key(HttpCall call, String[] names, int count) {
    StringBuilder key = new StringBuilder(call.path(names[0]));
    for (int i = 1; i < count; i++) {
      key.append('/').append(call.path(names[i]));
    }
    return key.toString();
  }

  private synchronized CompletableFuture<HttpReply> get(String key) {
    if (away) {
      return FakeUpstream.reply(503, Map.of());
    }
    Entry entry = entries.get(key);
    return entry == null
        ? FakeUpstream.reply(404, Map.of())
        : CompletableFuture.completedFuture(
            HttpReply.bytes(
                200, entry.value(), Map.of("Revision", Long.toString(entry.revision()))));
  }

  private synchronized CompletableFuture<HttpReply> put(String key, HttpCall call) {
    writes.incrementAndGet();
    if (away) {
      return FakeUpstream.reply(503, Map.of());
    }
    Entry old = entries.get(key);
    long revision = old == null ? 0 : old.revision();
    if (revision != Long.parseLong(call.header("Expected-Revision").orElse("-1"))) {
      return FakeUpstream.reply(409, Map.of());
    }
    set(key, call.body());
    if (lostAnswers.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
      return FakeUpstream.reply(503, Map.of());
    }
    return CompletableFuture.completedFuture(
        HttpReply.bytes(200, new byte[0], Map.of("Revision", Long.toString(revision + 1))));
  }

  /** Sets a value, whatever the key holds. */
  synchronized void set(String key, byte[] value) {
    Entry old = entries.get(key);
    entries.put(key, new Entry(old == null ? 1 : old.revision() + 1, value));
  }

  /** Returns a value as text; empty if it is absent. */
  synchronized String text(String key) {
    Entry entry = entries.get(key);
    return entry == null ? "" : new String(entry.value(), StandardCharsets.UTF_8);
  }

  /** Returns a value; empty if it is absent. */
  synchronized byte[] bytes(String key) {
    Entry entry = entries.get(key);
    return entry == null ? new byte[0] : entry.value();
  }

  String url() {
    return "http://127.0.0.1:" + server.address().getPort();
  }

  @Override
  public void close() {
    server.close();
  }
}
