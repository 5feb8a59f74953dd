package org.oriolewell.loadtool;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/**
 * Sends the arrivals of a workload at their times, whether or not earlier requests were answered,
 * and counts their ends. Latency runs from the intended time, so a tool or a system that falls
 * behind shows in the figures.
 */
final class LoadRun {
  private static final long LEAD_NANOS = 50_000_000;

  /** A parked thread wakes some 50 microseconds late, so the last part of a wait is spun. */
  private static final long SPIN_NANOS = 100_000;

  private static final long BACKOFF_MILLIS = 50;
  private static final long SETTLE_MILLIS = 5000;
  private static final Duration GRACE = Duration.ofSeconds(10);

  private final Workload workload;
  private final Target target;
  private final @Nullable Settler settler;
  private final ScheduledExecutorService retries;
  private final Tally tally = new Tally();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final long startNanos;
  private final long startMillis;

  /** Settles a key. */
  @FunctionalInterface
  interface Settler {
    CompletableFuture<CallResult> settle(Arrival arrival, String key, long timeoutMillis);
  }

  /** A request on its way. */
  private final class Pending {
    final Arrival arrival;
    final String key;
    final long intendedNanos;
    final long deadlineNanos;
    int attempts;
    boolean allNotRun = true;
    boolean settledNotRun;

    Pending(Arrival arrival) {
      this.arrival = arrival;
      long offset = arrival.offsetNanos();
      intendedNanos = startNanos + offset;
      deadlineNanos = intendedNanos + arrival.traffic().deadline().toNanos();
      key = RequestContent.key(arrival, startMillis + TimeUnit.NANOSECONDS.toMillis(offset));
    }

    long remainingMillis() {
      return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }
  }

  private LoadRun(
      Workload workload,
      Target target,
      @Nullable Settler settler,
      ScheduledExecutorService retries,
      InstantSource clock) {
    this.workload = workload;
    this.target = target;
    this.settler = settler;
    this.retries = retries;
    startNanos = System.nanoTime() + LEAD_NANOS;
    startMillis = clock.millis() + TimeUnit.NANOSECONDS.toMillis(LEAD_NANOS);
  }

  /**
   * Runs a workload and waits until all its requests have ended.
   *
   * @param settler settles keys of unknown outcome; null if the target can't
   * @param retries runs later attempts
   */
  static Tally run(
      Workload workload,
      Target target,
      @Nullable Settler settler,
      ScheduledExecutorService retries,
      InstantSource clock) {
    LoadRun run = new LoadRun(workload, target, settler, retries, clock);
    run.send();
    run.awaitEnds();
    return run.tally;
  }

  private void send() {
    Arrivals arrivals = new Arrivals(workload);
    while (arrivals.hasNext()) {
      Arrival arrival = arrivals.next();
      long due = startNanos + arrival.offsetNanos();
      awaitTime(due);
      if (arrival.offsetNanos() >= workload.warmup().toNanos()) {
        tally.sendLag.add(System.nanoTime() - due);
      }
      inFlight.incrementAndGet();
      attempt(new Pending(arrival));
    }
  }

  private static void awaitTime(long nanos) {
    for (long wait = nanos - System.nanoTime(); wait > 0; wait = nanos - System.nanoTime()) {
      if (wait > SPIN_NANOS) {
        LockSupport.parkNanos(wait - SPIN_NANOS);
      } else {
        Thread.onSpinWait();
      }
    }
  }

  private void awaitEnds() {
    Duration longest =
        workload.traffics().stream()
            .map(Workload.Traffic::deadline)
            .max(Duration::compareTo)
            .orElse(Duration.ZERO);
    long end = System.nanoTime() + longest.plus(GRACE).toNanos();
    while (inFlight.get() > 0 && System.nanoTime() < end) {
      LockSupport.parkNanos(1_000_000);
    }
    tally.unfinished(inFlight.get());
  }

  private void attempt(Pending pending) {
    pending.attempts++;
    long remaining = Math.max(1, pending.remainingMillis());
    target
        .send(pending.arrival, pending.key, remaining)
        .thenAccept(result -> attempted(pending, result));
  }

  private void attempted(Pending pending, CallResult result) {
    pending.allNotRun = pending.allNotRun && result.outcome() == Outcome.NOT_RUN;
    long backoff = BACKOFF_MILLIS << Math.min(5, pending.attempts - 1);
    backoff += new Random(pending.arrival.random() + pending.attempts).nextInt((int) backoff);
    if (mayRetry(pending, result) && pending.remainingMillis() > backoff) {
      retries.schedule(() -> attempt(pending), backoff, TimeUnit.MILLISECONDS);
    } else if (mustSettle(pending, result)) {
      settle(pending, result);
    } else {
      end(pending, result);
    }
  }

  private static boolean mayRetry(Pending pending, CallResult result) {
    boolean keyed = !pending.key.isEmpty();
    return pending.attempts <= pending.arrival.traffic().retries()
        && (result.outcome() == Outcome.NOT_RUN
            || (keyed && result.outcome() == Outcome.BROKEN)
            || (keyed && result.outcome() == Outcome.UNKNOWN));
  }

  private boolean mustSettle(Pending pending, CallResult result) {
    return settler != null
        && pending.arrival.traffic().settle()
        && !pending.key.isEmpty()
        && (result.outcome() == Outcome.BROKEN || result.outcome() == Outcome.UNKNOWN);
  }

  private void settle(Pending pending, CallResult result) {
    if (settler == null) {
      return;
    }
    settler
        .settle(pending.arrival, pending.key, SETTLE_MILLIS)
        .thenAccept(
            settled -> {
              pending.settledNotRun = settled.outcome() == Outcome.NOT_RUN;
              end(pending, settledResult(settled, result));
            });
  }

  /** Returns what a caller knows after settling; a settled key doesn't bring back the output. */
  private static CallResult settledResult(CallResult settled, CallResult before) {
    if (settled.outcome() == Outcome.NOT_RUN) {
      return CallResult.without(Outcome.NOT_RUN, "settled-not-run");
    }
    return settled.kind().equals(AnswerDecoder.NO_OUTPUT)
        ? CallResult.without(Outcome.UNKNOWN, "settled-answered")
        : before;
  }

  private void end(Pending pending, CallResult result) {
    if (pending.arrival.offsetNanos() >= workload.warmup().toNanos()) {
      long firstToken = result.firstTokenNanos();
      Ended ended =
          new Ended(
              pending.arrival.traffic(),
              pending.key,
              result.outcome(),
              result.kind(),
              System.nanoTime() - pending.intendedNanos,
              firstToken == 0 ? 0 : firstToken - pending.intendedNanos,
              result.tokens(),
              pending.attempts,
              pending.allNotRun || pending.settledNotRun);
      tally.add(ended, result);
    }
    inFlight.decrementAndGet();
  }
}
