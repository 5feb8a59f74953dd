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

/** Fake of the key-value service that can be unavailable or lose answers. */
final class FakeStore implements AutoCloseable {
  private record Entry(long revision, byte[] value) {}

  /** Whether every request is answered with an error and has no effect. */
  volatile boolean unavailable;

  /** Number of next writes that take effect but are answered with an error. */
  final AtomicInteger answersToLose = new AtomicInteger();

  /** Number of write requests that were received. */
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
    String[] segmentNames = {"a", "b", "c", "d", "e"};
    for (int i = 0; i < segmentNames.length; i++) {
      path += "/{" + segmentNames[i] + "}";
      int segmentCount = i + 1;
      server.route("GET", path, call -> get(key(call, segmentNames, segmentCount)));
      server.route("PUT", path, call -> put(key(call, segmentNames, segmentCount), call));
    }
    server.start("fake-store");
  }

  static FakeStore start() {
    return new FakeStore();
  }

  private static String key(HttpCall call, String[] segmentNames, int segmentCount) {
    StringBuilder key = new StringBuilder(call.path(segmentNames[0]));
    for (int i = 1; i < segmentCount; i++) {
      key.append('/').append(call.path(segmentNames[i]));
    }
    return key.toString();
  }

  private synchronized CompletableFuture<HttpReply> get(String key) {
    if (unavailable) {
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
    if (unavailable) {
      return FakeUpstream.reply(503, Map.of());
    }
    Entry currentEntry = entries.get(key);
    long revision = currentEntry == null ? 0 : currentEntry.revision();
    if (revision != Long.parseLong(call.header("Expected-Revision").orElse("-1"))) {
      return FakeUpstream.reply(409, Map.of());
    }
    set(key, call.body());
    if (answersToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
      return FakeUpstream.reply(503, Map.of());
    }
    return CompletableFuture.completedFuture(
        HttpReply.bytes(200, new byte[0], Map.of("Revision", Long.toString(revision + 1))));
  }

  /** Sets the value of a key, replacing any stored one. */
  synchronized void set(String key, byte[] value) {
    Entry currentEntry = entries.get(key);
    entries.put(key, new Entry(currentEntry == null ? 1 : currentEntry.revision() + 1, value));
  }

  /** Returns the value of a key as UTF-8 text; empty if there is none. */
  synchronized String text(String key) {
    Entry entry = entries.get(key);
    return entry == null ? "" : new String(entry.value(), StandardCharsets.UTF_8);
  }

  /** Returns the value of a key; empty if there is none. */
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
