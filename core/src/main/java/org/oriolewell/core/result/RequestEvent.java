package org.oriolewell.core.result;

import java.util.List;

/** Event in the processing of a request, reported to its {@link RequestMachine}. */
public sealed interface RequestEvent {
  /** The request was accepted and its first stage may start. */
  record Begin() implements RequestEvent {}

  /** A call was sent to the named upstream. */
  record Sent(StageCall call, String upstream) implements RequestEvent {}

  /** A call could not be sent since no upstream is available. */
  record NotSent(StageCall call) implements RequestEvent {}

  /** A call was not sent since its stages can't finish in the time that remains. */
  record Unreachable(StageCall call) implements RequestEvent {}

  /** An agent asks for permission to run a non-idempotent call. */
  record StartRequested(StageCall call) implements RequestEvent {}

  /**
   * A frame of tokens of a stream arrived.
   *
   * @param call attempt that produced the tokens
   * @param position position in the stream of the first token
   * @param items texts of the tokens
   */
  record Tokens(StageCall call, long position, List<String> items) implements RequestEvent {}

  /**
   * A call was answered.
   *
   * @param call attempt that was answered
   * @param tokenCount tokens of the whole stream, from position 0; ignored for stages that aren't
   *     streams
   */
  record Answered(StageCall call, long tokenCount) implements RequestEvent {}

  /** A call was answered with data that can't be decoded. */
  record InvalidAnswer(StageCall call, String detail) implements RequestEvent {}

  /** An agent refused a call, as {@code refusal} describes. */
  record Refused(StageCall call, Refusal refusal) implements RequestEvent {}

  /** The connection to the agent that holds a call was lost. */
  record ConnectionLost(StageCall call, String detail) implements RequestEvent {}

  /** The delay before a new attempt has elapsed. */
  record DelayElapsed(StageCall call) implements RequestEvent {}

  /** The request's deadline passed. */
  record DeadlinePassed() implements RequestEvent {}

  /** The caller closed its connection before it had an answer. */
  record CallerLeft() implements RequestEvent {}
}
