package org.oriolewell.agent;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigJson;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;
import org.oriolewell.runtime.platform.KeyValueStore;

/** Reads the configuration from the store at a fixed interval and accepts higher versions only. */
final class PollingConfig implements ConfigFeed {
  private static final String KEY = "config/document";

  private final KeyValueStore store;
  private final Loop loop;
  private final EventLog log;
  private final List<Consumer<ConfigDocument>> listeners = new ArrayList<>();
  private final Loop.Timer timer;
  private volatile ConfigDocument current = ConfigDocument.empty();
  private long readRevision;
  private boolean reading;
  private boolean storeAway;

  private PollingConfig(KeyValueStore store, Loop loop, EventLog log, Duration interval) {
    this.store = store;
    this.loop = loop;
    this.log = log;
    timer = loop.every(interval, this::poll);
  }

  /** Returns a feed that reads at once and then at the interval. */
  static PollingConfig start(KeyValueStore store, Loop loop, EventLog log, Duration interval) {
    PollingConfig config = new PollingConfig(store, loop, log, interval);
    loop.execute(config::poll);
    return config;
  }

  private void poll() {
    if (reading) {
      return;
    }
    reading = true;
    store.get(KEY).whenComplete((entry, failure) -> loop.execute(() -> onRead(entry, failure)));
  }

  private void onRead(Optional<KeyValueStore.Entry> entry, @Nullable Throwable failure) {
    reading = false;
    if (failure != null) {
      if (!storeAway) {
        log.event(RuntimeEvent.STORE_UNAVAILABLE).cause(failure).write();
      }
      storeAway = true;
      return;
    }
    storeAway = false;
    entry.filter(value -> value.revision() != readRevision).ifPresent(this::apply);
  }

  private void apply(KeyValueStore.Entry entry) {
    readRevision = entry.revision();
    ConfigDocument document;
    try {
      document = ConfigJson.read(entry.value());
    } catch (IOException e) {
      log.event(AgentEvent.CONFIG_INVALID).cause(e).write();
      return;
    }
    if (document.version() > current.version()) {
      current = document;
      log.event(AgentEvent.CONFIG_APPLIED).with("version", document.version()).write();
      listeners.forEach(listener -> listener.accept(document));
    }
  }

  @Override
  public ConfigDocument current() {
    return current;
  }

  @Override
  public void onChange(Consumer<ConfigDocument> listener) {
    loop.execute(
        () -> {
          listeners.add(listener);
          if (current.version() > 0) {
            listener.accept(current);
          }
        });
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
