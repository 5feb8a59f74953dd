package org.oriolewell.runtime.admin;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Sends the queries of the admin API to the connected processes. */
@FunctionalInterface
public interface FleetPort {
  /**
   * Answer of one process to a query.
   *
   * @param process name of the process
   * @param answer answer as JSON; empty if the process didn't answer in time or wasn't asked
   */
  record Answer(String process, Optional<byte[]> answer) {}

  /**
   * Sends a query to every connected process and to this one.
   *
   * @param query query as JSON, in the form that {@link QueryResponder} describes
   * @param timeout longest time to wait; a process that hasn't answered by then has an empty answer
   * @return future of one answer for each process, which doesn't fail
   */
  CompletableFuture<List<Answer>> ask(byte[] query, Duration timeout);
}
