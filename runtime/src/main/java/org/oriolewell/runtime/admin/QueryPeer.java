package org.oriolewell.runtime.admin;

import org.oriolewell.runtime.wire.Message;

/** A connected process that queries can be sent to. */
public interface QueryPeer {
  /** Returns the name of the process. */
  String process();

  /**
   * Queues a message without blocking.
   *
   * @return false if the connection is closed
   */
  boolean send(Message message);
}
