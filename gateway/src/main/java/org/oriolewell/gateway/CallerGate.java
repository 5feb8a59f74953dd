package org.oriolewell.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.oriolewell.core.overload.ConnectionBound;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * The open connections of callers. When they approach the bound that the descriptors of the process
 * allow, idle ones are closed, the oldest first; at the bound, no more are accepted until some have
 * ended.
 */
final class CallerGate implements EventLoop.AcceptGate {
  /** Interval at which the number of connections is checked. */
  static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** Time in which the first or next request may be on its way. */
  private static final Duration NEXT_REQUEST_TIMEOUT = Duration.ofMillis(500);

  private final ConnectionBound bound;
  private final EventLog log;
  private final CallerLosses losses;
  private final Set<CallerConnection> connections = new HashSet<>();

  /** Accepted connections that have not been opened; the acceptor may run on another thread. */
  private final AtomicInteger opening = new AtomicInteger();

  private volatile int open;
  private volatile boolean paused;
  private boolean pauseLogged;

  CallerGate(ConnectionBound bound, EventLog log, CallerLosses losses) {
    this.bound = bound;
    this.log = log;
    this.losses = losses;
  }

  @Override
  public boolean mayAccept() {
    boolean accepted = bound.mayAccept(open + opening.get());
    if (accepted) {
      opening.incrementAndGet();
    } else {
      paused = true;
    }
    return accepted;
  }

  @Override
  public void nothingAccepted() {
    opening.decrementAndGet();
  }

  void opened(CallerConnection connection) {
    connections.add(connection);
    opening.updateAndGet(count -> Math.max(0, count - 1));
    open = connections.size();
  }

  void closed(CallerConnection connection) {
    connections.remove(connection);
    open = connections.size();
  }

  /** Returns the open connections. */
  List<CallerConnection> connections() {
    return List.copyOf(connections);
  }

  /** Returns whether connections should be closed after their answers. */
  boolean crowded() {
    return paused || bound.excess(open) > 0;
  }

  /** Closes idle connections if there are many; then accepts again if that had been paused. */
  void check(Runnable resumeAccepting) {
    closeIdle(bound.excess(open + opening.get()));
    if (!paused) {
      return;
    }
    if (!pauseLogged) {
      pauseLogged = true;
      log.event(GatewayEvent.ACCEPTING_PAUSED).with("connections", open).write();
    }
    // An accepted connection that failed before it was opened would count for ever.
    opening.set(0);
    if (bound.mayAccept(open)) {
      paused = false;
      pauseLogged = false;
      log.event(GatewayEvent.ACCEPTING_RESUMED).with("connections", open).write();
      resumeAccepting.run();
    }
  }

  private void closeIdle(int excess) {
    if (excess == 0) {
      return;
    }
    List<CallerConnection> oldest =
        connections.stream()
            .filter(connection -> !connection.recentlyUsed(NEXT_REQUEST_TIMEOUT))
            .filter(CallerConnection::idle)
            .sorted(Comparator.comparingLong(CallerConnection::idleSince))
            .limit(excess)
            .toList();
    oldest.forEach(CallerConnection::closeIfIdle);
    oldest.forEach(connection -> losses.lost("idle connection", ""));
    if (!oldest.isEmpty()) {
      log.event(GatewayEvent.IDLE_CALLERS_CLOSED)
          .with("closed", oldest.size())
          .with("connections", open)
          .write();
    }
  }
}
