package org.oriolewell.gateway;

/**
 * Thrown if a part of an answer doesn't fit what was sent before, such as a complete answer after
 * the head of a stream. The caller's connection has to be closed, as nothing else can end the
 * answer.
 */
final class AnswerStateException extends IllegalStateException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param call name of the rejected method of {@link CallerExchange}
   * @param state what has become of the answer so far
   */
  AnswerStateException(String call, String state) {
    super(call + " in state " + state + "; only abort can end this answer");
  }
}
