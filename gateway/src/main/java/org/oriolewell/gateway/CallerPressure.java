package org.oriolewell.gateway;

import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.overload.CallerHolding;
import org.oriolewell.core.overload.CallerMemory;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Carries out the decisions of {@link CallerMemory} on the connections of one listening port:
 * pauses reading, reads again, and gives up requests. Used on the event loop only.
 */
final class CallerPressure {
  /** Time for which connections are paused before requests are given up. */
  static final Duration PAUSE_GRACE = Duration.ofMillis(500);

  /** Interval at which paused connections are checked. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  /** A connection whose memory is accounted for. */
  interface Holder {
    /** Reads the connection again if that is possible now; called while it is paused. */
    void resume();

    /**
     * Gives up a request that has not run, or closes an idle connection.
     *
     * @return workspace of the request; empty if it is not known
     */
    String giveUp();
  }

  private final EventLoop loop;
  private final CallerMemory memory;
  private final EventLog log;
  private final CallerLosses losses;
  private final Map<CallerHolding, Holder> holders = new IdentityHashMap<>();
  private final Set<Holder> paused = new LinkedHashSet<>();
  private EventLoop.@Nullable Timer timer;
  private boolean pressureLogged;

  /**
   * Creates the account of one listening port.
   *
   * @param maxBytes largest sum of what all connections hold
   * @param losses counts what is given up
   */
  CallerPressure(EventLoop loop, long maxBytes, EventLog log, CallerLosses losses) {
    this.loop = loop;
    this.memory = CallerMemory.of(maxBytes, PAUSE_GRACE.toNanos());
    this.log = log;
    this.losses = losses;
  }

  /** Adds a connection. */
  void open(CallerHolding holding, Holder holder) {
    memory.add(holding);
    holders.put(holding, holder);
  }

  /** Removes a connection that has ended. */
  void close(CallerHolding holding) {
    Holder holder = holders.remove(holding);
    if (holder != null) {
      paused.remove(holder);
      holding.close(loop.now());
    }
  }

  /** Returns the account. */
  CallerMemory memory() {
    return memory;
  }

  /** Returns the counts of what was given up. */
  CallerLosses losses() {
    return losses;
  }

  /** Has a connection resumed when there is enough memory, or its output was read. */
  void pause(Holder holder) {
    paused.add(holder);
    check();
  }

  /** Called after a connection has grown; gives up requests if there is too little memory. */
  void check() {
    if (memory.pressed()) {
      logPressure();
      giveUp(memory.overdue(loop.now()));
    }
    if (timer == null && (memory.pressed() || !paused.isEmpty())) {
      timer = loop.after(CHECK_INTERVAL, this::checkAgain);
    }
  }

  private void checkAgain() {
    timer = null;
    pressureLogged &= memory.pressed();
    for (Holder holder : List.copyOf(paused)) {
      paused.remove(holder);
      holder.resume();
    }
    check();
  }

  private void logPressure() {
    if (!pressureLogged) {
      pressureLogged = true;
      log.event(GatewayEvent.CALLERS_PAUSED)
          .with("bytes", memory.bytes())
          .with("limit", memory.maxBytes())
          .with("by_kind", memory.bytesByKind().toString())
          .write();
    }
  }

  private void giveUp(List<CallerHolding> holdings) {
    if (holdings.isEmpty()) {
      return;
    }
    long bytes = memory.bytes();
    Set<String> workspaces = new TreeSet<>();
    for (CallerHolding holding : holdings) {
      Holder holder = holders.get(holding);
      if (holder != null) {
        workspaces.add(holder.giveUp());
      }
    }
    log.event(GatewayEvent.CALLERS_SHED)
        .with("connections", holdings.size())
        .with("bytes", bytes - memory.bytes())
        .with("limit", memory.maxBytes())
        .with("workspaces", List.copyOf(workspaces))
        .write();
  }
}
