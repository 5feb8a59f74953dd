package org.oriolewell.gateway;

import java.util.ArrayDeque;
import java.util.Queue;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Lets the connections of callers read and parse their input in turns. After a number of turns that
 * took a few milliseconds together, the event loop handles everything else first: the store, other
 * gateways, upstreams, timers and the readiness check. Used on the event loop only.
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
    if (waiting.isEmpty() && usedNanos < MAX_NANOS_PER_ROUND) {
      run(turn);
    } else {
      takeLater(turn);
    }
  }

  /** Runs a turn after those that wait already and after other work of the event loop. */
  void takeLater(Runnable turn) {
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
      usedNanos += loop.now() - startedAt;
    }
  }

  private void startRound() {
    usedNanos = 0;
    int turns = waiting.size();
    try {
      while (turns > 0 && usedNanos < MAX_NANOS_PER_ROUND) {
        turns--;
        run(waiting.remove());
      }
    } finally {
      roundQueued = !waiting.isEmpty();
      if (roundQueued) {
        loop.execute(this::startRound);
      }
    }
  }
}
