package org.oriolewell.entry;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigJson;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;
import org.oriolewell.runtime.platform.KeyValueStore;

/** Reads the configuration from the store again and again; accepts only a higher version. */
final class StoreConfig implements ConfigSource {
  private static final String KEY = "config/document";

  private final KeyValueStore store;
  private final EventLog log;
  private final AtomicBoolean running = new AtomicBoolean();
  private volatile @Nullable ConfigDocument current;
  private long refusedRevision;
  private boolean available = true;

  StoreConfig(KeyValueStore store, EventLog log) {
    this.store = store;
    this.log = log;
  }

  @Override
  public Optional<ConfigDocument> current() {
    return Optional.ofNullable(current);
  }

  /** Starts one read, unless the previous one hasn't ended. */
  void poll() {
    if (!running.compareAndSet(false, true)) {
      return;
    }
    store
        .get(KEY)
        .whenComplete(
            (entry, failure) -> {
              try {
                if (failure != null) {
                  unavailable(failure);
                } else {
                  available = true;
                  entry.ifPresent(this::read);
                }
              } finally {
                running.set(false);
              }
            });
  }

  private void unavailable(Throwable failure) {
    if (available) {
      available = false;
      log.event(RuntimeEvent.STORE_UNAVAILABLE).cause(failure).write();
    }
  }

  private void read(KeyValueStore.Entry entry) {
    try {
      ConfigDocument document = ConfigJson.read(entry.value());
      ConfigDocument known = current;
      if (known == null || document.version() > known.version()) {
        current = document;
        log.event(EntryEvent.CONFIG_IN_FORCE).with("version", document.version()).write();
      }
    } catch (IOException | RuntimeException e) {
      if (refusedRevision != entry.revision()) {
        refusedRevision = entry.revision();
        log.event(EntryEvent.CONFIG_REFUSED).with("revision", entry.revision()).cause(e).write();
      }
    }
  }
}
