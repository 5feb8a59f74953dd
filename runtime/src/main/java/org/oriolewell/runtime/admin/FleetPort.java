package org.oriolewell.runtime.admin;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Asks the connected processes, as the admin API needs it. */
@FunctionalInterface
public interface FleetPort {
  /**
   * What one process answered.
   *
   * @param process name of the process
   * @param answer its answer, or empty if it didn't answer in time or wasn't asked
   */
  record Answer(String process, Optional<byte[]> answer) {}

  /**
   * Asks every connected process and this one.
   *
   * @param question JSON, as {@link QueryResponder} takes it
   * @param limit longest time to wait; those that haven't answered then are reported as silent
   * @return one answer for each process; the future doesn't fail
   */
  CompletableFuture<List<Answer>> ask(byte[] question, Duration limit);
}
