package org.oriolewell.standins;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.oriolewell.runtime.settings.Settings;

/**
 * Continuous batching. Each step gives every running sequence one token; sequences join between
 * steps, the highest priority first, then in order of arrival. Reading the prompts of those that
 * join lengthens the step for all.
 */
final class EngineBatch {
  private static final long STALL_POLL_NANOS = 2_000_000;
  private static final double NANOS_PER_MICRO = 1000;

  private final Timer timer;
  private final FaultPlan faults;
  private final PrefixCache cache;
  private final int maxBatch;
  private final int queueLimit;
  private final double baseNanos;
  private final double sequenceNanos;
  private final double prefillNanos;
  private final PriorityQueue<Sequence> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt((Sequence s) -> -s.priority).thenComparingLong(s -> s.arrival));
  private final List<Sequence> running = new ArrayList<>();
  private boolean stepping;
  private long steps;
  private long tokens;
  private double lastStepNanos;

  EngineBatch(Timer timer, FaultPlan faults, PrefixCache cache, Settings settings) {
    this.timer = timer;
    this.faults = faults;
    this.cache = cache;
    maxBatch = settings.value(EngineSettings.MAX_BATCH);
    queueLimit = settings.value(EngineSettings.QUEUE);
    baseNanos = CommonSettings.nanos(settings.value(EngineSettings.STEP_MILLIS));
    sequenceNanos = CommonSettings.nanos(settings.value(EngineSettings.SEQUENCE_MILLIS));
    prefillNanos = settings.value(EngineSettings.PREFILL_MICROS) * NANOS_PER_MICRO;
  }

  /** Adds a sequence and returns true, or returns false if too many wait. */
  boolean add(Sequence sequence) {
    synchronized (this) {
      if (waiting.size() >= queueLimit) {
        return false;
      }
      waiting.add(sequence);
      if (stepping) {
        return true;
      }
      stepping = true;
    }
    startStep();
    return true;
  }

  /** Cancels the sequences of a request and returns how many there were. */
  synchronized int cancel(String requestId) {
    int found = 0;
    for (List<Sequence> list : List.of(running, List.copyOf(waiting))) {
      for (Sequence sequence : list) {
        if (sequence.requestId.equals(requestId)) {
          sequence.cancel();
          found++;
        }
      }
    }
    return found;
  }

  /** Removes all cached prefixes. */
  synchronized void clearCache() {
    cache.clear();
  }

  private void startStep() {
    if (faults.affects(Fault.Kind.STALL, "generate")) {
      timer.afterNanos(STALL_POLL_NANOS).thenRun(this::startStep);
      return;
    }
    long nanos;
    synchronized (this) {
      running.removeIf(Sequence::endIfOver);
      waiting.removeIf(Sequence::endIfOver);
      double time = join();
      if (running.isEmpty()) {
        stepping = false;
        return;
      }
      time += baseNanos + sequenceNanos * running.size();
      lastStepNanos = time * faults.slowFactor("generate");
      nanos = (long) lastStepNanos;
    }
    timer.afterNanos(nanos).thenRun(this::endStep);
  }

  /** Lets waiting sequences join and returns the time to read their prompts. */
  private double join() {
    double nanos = 0;
    while (running.size() < maxBatch && !waiting.isEmpty()) {
      Sequence sequence = waiting.remove();
      nanos += sequence.prefillTokens(cache.use(sequence.prompt)) * prefillNanos;
      running.add(sequence);
    }
    return nanos;
  }

  private void endStep() {
    synchronized (this) {
      running.removeIf(Sequence::endIfOver);
      running.forEach(Sequence::step);
      steps++;
      tokens += running.size();
    }
    startStep();
  }

  /** Returns the present load, as the load report shows it later. */
  synchronized Map<String, Object> load() {
    return StandinServer.ordered(
        "running",
        running.size(),
        "waiting",
        waiting.size(),
        "max_batch",
        maxBatch,
        "cache_blocks",
        cache.size(),
        "step_ms",
        lastStepNanos / 1e6,
        "steps",
        steps,
        "tokens",
        tokens);
  }
}
