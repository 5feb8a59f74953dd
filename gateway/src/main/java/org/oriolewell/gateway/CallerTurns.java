package org.oriolewell.gateway;

import java.util.ArrayDeque;
import java.util.Queue;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Lets the connections of callers read and parse their input in turns. After a number of turns that
 * took a few milliseconds together, the event loop handles everything else first: the store, other
 * gateways, upstreams, timers and the readiness check. Used on the event loop; thread-safe all the
 * same, since tasks of one loop can overlap (docs/hard-load.md, part E) and a lost turn would leave
 * its connection unread for ever.
 */
final class CallerTurns {
  /** Time for callers' input between two rounds of everything else, in nanoseconds. */
  private static final long MAX_NANOS_PER_ROUND = 5_000_000;

  private final EventLoop loop;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private long usedNanos;
  private boolean roundQueued;

  CallerTurns(EventLoop loop) {
    this.loop = loop;
  }

  /** Runs a turn now, or after those that wait already. */
  void take(Runnable turn) {
    if (mayRunNow()) {
      run(turn);
    } else {
      takeLater(turn);
    }
  }

  private synchronized boolean mayRunNow() {
    return waiting.isEmpty() && usedNanos < MAX_NANOS_PER_ROUND;
  }

  /** Runs a turn after those that wait already and after other work of the event loop. */
  synchronized void takeLater(Runnable turn) {
    waiting.add(turn);
    if (!roundQueued) {
      roundQueued = true;
      loop.execute(this::startRound);
    }
  }

  private void run(Runnable turn) {
    long startedAt = loop.now();
    try {
      turn.run();
    } finally {
      addUsed(loop.now() - startedAt);
    }
  }

  private synchronized void addUsed(long nanos) {
    usedNanos += nanos;
  }

  private void startRound() {
    int turns = beginRound();
    try {
      for (Runnable turn = nextTurn(turns); turn != null; turn = nextTurn(turns)) {
        turns--;
        run(turn);
      }
    } finally {
      endRound();
    }
  }

  private synchronized int beginRound() {
    usedNanos = 0;
    return waiting.size();
  }

  private synchronized @Nullable Runnable nextTurn(int remainingTurns) {
    return remainingTurns > 0 && usedNanos < MAX_NANOS_PER_ROUND ? waiting.poll() : null;
  }

  private synchronized void endRound() {
    roundQueued = !waiting.isEmpty();
    if (roundQueued) {
      loop.execute(this::startRound);
    }
  }
}
