package org.oriolewell.runtime.config;

import org.oriolewell.runtime.wire.Message;

/**
 * A connected process, as the distribution sees it. One object stands for one connection; the
 * programs make it after both HELLO messages and keep it until the connection is closed.
 */
public interface ConfigPeer {
  /** Returns the region that the peer named in HELLO. */
  String region();

  /**
   * Queues a message without blocking.
   *
   * @return false if the connection is closed
   */
  boolean send(Message message);
}
