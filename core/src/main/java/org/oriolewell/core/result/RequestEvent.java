package org.oriolewell.core.result;

import java.util.List;

/** Something that happened to a request. */
public sealed interface RequestEvent {
  /** The request was accepted. */
  record Begin() implements RequestEvent {}

  /** A call was sent to an upstream. */
  record Sent(StageCall call, String upstream) implements RequestEvent {}

  /** A call could not be sent since no upstream is available. */
  record NotSent(StageCall call) implements RequestEvent {}

  /** A call was not sent since its stages can't finish in the time that remains. */
  record Unreachable(StageCall call) implements RequestEvent {}

  /** An agent asks for permission to run a non-idempotent call. */
  record StartRequested(StageCall call) implements RequestEvent {}

  /**
   * A frame of tokens arrived.
   *
   * @param position position of the first token
   */
  record Tokens(StageCall call, long position, List<String> items) implements RequestEvent {}

  /**
   * A call was answered.
   *
   * @param tokenCount tokens of the whole stream, from position 0; ignored for other stages
   */
  record Answered(StageCall call, long tokenCount) implements RequestEvent {}

  /** A call was answered with something that can't be read. */
  record InvalidAnswer(StageCall call, String detail) implements RequestEvent {}

  /** An agent refused a call. */
  record Refused(StageCall call, Refusal refusal) implements RequestEvent {}

  /** The connection to the agent that has a call was lost. */
  record ConnectionLost(StageCall call, String detail) implements RequestEvent {}

  /** The delay before an attempt has passed. */
  record DelayElapsed(StageCall call) implements RequestEvent {}

  /** The deadline passed. */
  record DeadlinePassed() implements RequestEvent {}

  /** The caller closed its connection. */
  record CallerLeft() implements RequestEvent {}
}
