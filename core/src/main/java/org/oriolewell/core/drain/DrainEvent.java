package org.oriolewell.core.drain;

/** Input event of a {@link DrainMachine}, given to {@link DrainMachine#on}. */
public sealed interface DrainEvent {
  /**
   * A source requests that the agent accepts no new calls.
   *
   * @param source origin of the drain request, such as {@code configuration} or {@code host list}
   */
  record Requested(String source) implements DrainEvent {}

  /** A source withdrew its drain request. */
  record Withdrawn(String source) implements DrainEvent {}

  /** The process shall stop, for example after SIGTERM. A stop can't be withdrawn. */
  record Stop() implements DrainEvent {}

  /** No call is in flight. Sent after a call ends and with each {@link Tick}. */
  record Idle() implements DrainEvent {}

  /** The agent owns no shard any more: each one was released or lost. */
  record Released() implements DrainEvent {}

  /** Periodic timer event, sent at least every 100 ms. */
  record Tick() implements DrainEvent {}
}
