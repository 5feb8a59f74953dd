package org.oriolewell.standins;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.oriolewell.runtime.log.EventLog;

/** The faults in force at a stand-in. They are changed at run time. */
public final class FaultPlan {
  private static final Duration WINDOW = Duration.ofSeconds(1);
  private static final double COLD_RATE_FACTOR = 1.5;
  private static final int COLD_EXTRA_CALLS = 5;

  /** Outage after the crash of a cold upstream, if the fault states no duration. */
  private static final Duration CRASH_TIME = Duration.ofSeconds(3);

  private final List<Active> active = new ArrayList<>();
  private final Timer timer;
  private final EventLog log;
  private Consumer<Fault> burst = fault -> {};

  /** A fault in force; {@code remaining} is negative if the number of calls is unlimited. */
  private static final class Active {
    final Fault fault;
    final CompletableFuture<Void> ended = new CompletableFuture<>();
    final Deque<Long> arrivals = new ArrayDeque<>();
    int remaining;

    Active(Fault fault) {
      this.fault = fault;
      this.remaining = fault.count() == 0 ? -1 : fault.count();
    }

    /** Records a call to a cold upstream; returns whether it is one too many in a second. */
    boolean overloads(long now) {
      arrivals.addLast(now);
      while (now - arrivals.getFirst() >= WINDOW.toNanos()) {
        arrivals.removeFirst();
      }
      return arrivals.size() > fault.value() * COLD_RATE_FACTOR + COLD_EXTRA_CALLS;
    }

    boolean affects(Fault.Kind kind, String label) {
      return fault.kind() == kind && remaining != 0 && label.startsWith(fault.on());
    }
  }

  /**
   * A fault that a call has met.
   *
   * @param fault the fault
   * @param ended completes when the fault is cleared or its duration has passed
   */
  record Met(Fault fault, CompletableFuture<Void> ended) {}

  FaultPlan(Timer timer, EventLog log) {
    this.timer = timer;
    this.log = log;
  }

  /** Sets what a burst does; it is called once for each call of foreign load. */
  void onBurst(Consumer<Fault> handler) {
    burst = handler;
  }

  /** Puts a fault in force. It replaces a fault of the same kind for the same calls. */
  public void set(Fault fault) {
    clear(fault.kind(), fault.on());
    log.event(StandinEvent.FAULT_SET)
        .with("fault", fault.kind())
        .with("value", fault.value())
        .with("count", fault.count())
        .with("duration_ms", fault.duration() == null ? null : fault.duration().toMillis())
        .with("on", fault.on())
        .write();
    if (fault.kind() == Fault.Kind.BURST) {
      startBurst(fault);
      return;
    }
    Active added = new Active(fault);
    synchronized (active) {
      active.add(added);
    }
    if (fault.duration() != null) {
      timer.after(fault.duration()).thenRun(() -> end(added));
    }
  }

  private void startBurst(Fault fault) {
    int calls = (int) fault.value();
    long nanos = fault.duration() == null ? 0 : fault.duration().toNanos();
    for (int i = 0; i < calls; i++) {
      timer.afterNanos(nanos * i / calls).thenRun(() -> burst.accept(fault));
    }
  }

  /** Ends all faults. */
  public void clear() {
    List<Active> all;
    synchronized (active) {
      all = List.copyOf(active);
    }
    all.forEach(this::end);
  }

  /** Ends the faults of one kind for the calls of one label prefix. */
  public void clear(Fault.Kind kind, String on) {
    List<Active> matching;
    synchronized (active) {
      matching =
          active.stream().filter(a -> a.fault.kind() == kind && a.fault.on().equals(on)).toList();
    }
    matching.forEach(this::end);
  }

  private void end(Active fault) {
    boolean removed;
    synchronized (active) {
      removed = active.remove(fault);
    }
    if (removed) {
      log.event(StandinEvent.FAULT_ENDED)
          .with("fault", fault.fault.kind())
          .with("on", fault.fault.on())
          .write();
      fault.ended.complete(null);
    }
  }

  /** Returns the faults in force; each count is the number of calls still to be affected. */
  public List<Fault> faults() {
    synchronized (active) {
      return active.stream()
          .filter(a -> a.remaining != 0)
          .map(
              a ->
                  new Fault(
                      a.fault.kind(),
                      a.fault.value(),
                      Math.max(0, a.remaining),
                      a.fault.duration(),
                      a.fault.on()))
          .toList();
    }
  }

  /** Returns the fault of a kind that a call meets, and uses one of its count. */
  Optional<Met> take(Fault.Kind kind, String label) {
    synchronized (active) {
      for (Active a : active) {
        if (a.affects(kind, label)) {
          if (a.remaining > 0) {
            a.remaining--;
          }
          return Optional.of(new Met(a.fault, a.ended));
        }
      }
      return Optional.empty();
    }
  }

  /** Counts a call to a cold upstream, which crashes if it gets too many. */
  void countColdCall(String label, long now) {
    Fault crashed = null;
    synchronized (active) {
      for (Active a : active) {
        if (a.affects(Fault.Kind.COLD_PER_S, label) && a.overloads(now)) {
          crashed = a.fault;
        }
      }
    }
    if (crashed != null) {
      clear(Fault.Kind.COLD_PER_S, crashed.on());
      Duration duration = crashed.duration() == null ? CRASH_TIME : crashed.duration();
      set(new Fault(Fault.Kind.OUTAGE, 0, 0, duration, crashed.on()));
    }
  }

  /** Returns the product of the slow factors for a label, without using their count. */
  double slowFactor(String label) {
    synchronized (active) {
      return active.stream()
          .filter(a -> a.affects(Fault.Kind.SLOW_FACTOR, label))
          .mapToDouble(a -> a.fault.value())
          .reduce(1, (a, b) -> a * b);
    }
  }

  /** Returns whether a fault of a kind, without a limit on calls, affects a label. */
  boolean affects(Fault.Kind kind, String label) {
    synchronized (active) {
      return active.stream().anyMatch(a -> a.remaining < 0 && a.affects(kind, label));
    }
  }
}
