package org.oriolewell.bench.calls;

import java.util.ArrayList;
import java.util.List;
import org.oriolewell.bench.model.VirtualTime;

/**
 * Baseline: an intent is written before each call. With batching, all calls that arrive while a
 * write is pending, or during a linger time before it, share the next one.
 */
final class IntentLog implements CallLog {
  private record Waiting(Runnable start, Runnable refuse) {}

  private final VirtualTime time;
  private final ModelStore store;
  private final int maxBatch;
  private final long lingerNanos;
  private final List<Waiting> waiting = new ArrayList<>();
  private boolean busy;

  /**
   * Creates a log.
   *
   * @param maxBatch most calls in one write; 1 turns batching off
   * @param lingerNanos time to collect calls before a write, in nanoseconds
   */
  IntentLog(VirtualTime time, ModelStore store, int maxBatch, long lingerNanos) {
    this.time = time;
    this.store = store;
    this.maxBatch = maxBatch;
    this.lingerNanos = lingerNanos;
  }

  @Override
  public void call(Runnable start, Runnable refuse) {
    waiting.add(new Waiting(start, refuse));
    next();
  }

  private void next() {
    if (busy || waiting.isEmpty()) {
      return;
    }
    busy = true;
    time.after(lingerNanos, this::write);
  }

  private void write() {
    List<Waiting> batch = new ArrayList<>(waiting.subList(0, Math.min(maxBatch, waiting.size())));
    waiting.subList(0, batch.size()).clear();
    store.write(
        acknowledged -> {
          busy = false;
          batch.forEach(call -> (acknowledged ? call.start() : call.refuse()).run());
          next();
        });
  }
}
