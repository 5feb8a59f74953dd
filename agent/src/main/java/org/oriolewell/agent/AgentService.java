package org.oriolewell.agent;

import org.oriolewell.runtime.wire.Message;

/** What a connection needs from its agent. Used on the agent's loop only. */
interface AgentService {
  /** Takes note of a new connection. */
  void opened(Dialer dialer);

  /** Takes note that a connection is gone. */
  void closed(Dialer dialer);

  /** Takes note that a call has ended, which may complete a drain. */
  void callEnded();

  /** Returns whether new calls are refused. */
  boolean draining();

  /** Returns the load to report. */
  Message.Load load();

  /** Returns the first message of a connection. */
  Message.Hello hello();

  /** Returns the answer to a heartbeat. */
  Message.Pong pong(Message.Ping ping);

  /** Returns the runner of non-idempotent calls. */
  NonIdempotentCalls nonIdempotent();

  /** Returns the answer to an operator's question, as JSON. */
  byte[] answer(byte[] question);
}
