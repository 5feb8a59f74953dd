package org.oriolewell.runtime.config;

import org.oriolewell.runtime.wire.Message;

/**
 * A connected process that exchanges configuration messages with this one. One object stands for
 * one connection; a program creates it after both HELLO messages and keeps it until the connection
 * is closed.
 */
public interface ConfigPeer {
  /** Returns the region that the peer reported in HELLO. */
  String region();

  /**
   * Queues a message without blocking.
   *
   * @return false if the connection is closed
   */
  boolean send(Message message);
}
