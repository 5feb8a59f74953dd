package org.oriolewell.standins;

import java.net.InetSocketAddress;
import java.net.URI;

/**
 * A running stand-in.
 *
 * <p>Example: {@code try (Standin store = StoreStandin.start("answer_delay_ms = 0")) {...}}.
 */
public interface Standin extends AutoCloseable {
  /** Returns the bound address. */
  InetSocketAddress address();

  /** Returns the base of all its resources, such as {@code http://127.0.0.1:40001}. */
  default URI uri() {
    return URI.create("http://" + address().getHostString() + ":" + address().getPort());
  }

  /** Returns the faults in force, for tests that set them without HTTP. */
  FaultPlan faults();

  /** Returns what ran so far. */
  ExecutionLedger executions();

  /** Stops at once; calls in flight lose their connections, as if the process had died. */
  @Override
  void close();
}
