package org.oriolewell.agent;

import org.oriolewell.runtime.wire.Message;

/** State and operations of the agent that its connections use. Called on the agent's loop only. */
interface AgentService {
  /** Registers a new connection. */
  void connectionOpened(Dialer dialer);

  /** Unregisters a closed connection. */
  void connectionClosed(Dialer dialer);

  /** Called when a call has ended, which may complete a drain. */
  void callEnded();

  /** Returns whether new calls are refused because the agent drains. */
  boolean draining();

  /** Returns the agent's load, which is reported to dialers. */
  Message.Load load();

  /** Returns the HELLO message that the agent sends first on each connection. */
  Message.Hello hello();

  /** Returns the answer to a dialer's heartbeat. */
  Message.Pong pong(Message.Ping ping);

  /** Returns the component that runs non-idempotent calls. */
  NonIdempotentCalls nonIdempotentCalls();

  /** Answers an operator's query; query and answer are JSON. */
  byte[] answerQuery(byte[] query);
}
