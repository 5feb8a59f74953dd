package org.oriolewell.core.drain;

/** What happens to a {@link DrainMachine}. */
public sealed interface DrainEvent {
  /**
   * Somebody wants the process to take no new work.
   *
   * @param source who wants it, such as {@code configuration} or {@code host list}
   */
  record Requested(String source) implements DrainEvent {}

  /** A source no longer wants the process to drain. */
  record Withdrawn(String source) implements DrainEvent {}

  /** The process is to stop, for example on SIGTERM. This can't be withdrawn. */
  record Stop() implements DrainEvent {}

  /** No call is in flight. Due after each end of a call and with each {@link Tick}. */
  record Idle() implements DrainEvent {}

  /** All shards are released, or their owner found that they are lost. */
  record Released() implements DrainEvent {}

  /** Time has passed. Due at least every 100 ms. */
  record Tick() implements DrainEvent {}
}
