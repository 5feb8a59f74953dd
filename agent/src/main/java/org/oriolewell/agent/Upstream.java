package org.oriolewell.agent;

import java.util.List;

/** The back end that this agent calls: a model engine, a stage pool or a plain service. */
interface Upstream {
  /**
   * Sends a call to the upstream.
   *
   * @param sink receives the answer, on any thread
   * @return handle of the call at the upstream
   */
  RunningCall run(UpstreamCall call, AnswerSink sink);

  /** Checks a call before admission; returns what is wrong with it, or an empty string. */
  String check(UpstreamCall call);

  /** Handle of a call at the upstream. */
  interface RunningCall {
    /** Cancels the call at the upstream. The sink may still be called once. */
    void cancel();

    /** Permits reading more of a token stream. */
    void requestMore();
  }

  /**
   * Receives the answer of an upstream: any number of calls of {@code tokens}, then one call of
   * either {@code answered} or {@code failed}.
   */
  interface AnswerSink {
    /**
     * Receives consecutive tokens. No more follow until {@link RunningCall#requestMore} is called.
     *
     * @param firstPosition position of the first of these tokens in the answer, from 0
     */
    void tokens(long firstPosition, List<String> tokens);

    /**
     * Called when the answer is complete.
     *
     * @param output output as JSON; empty if it was passed as tokens
     * @param tokenCount number of tokens of the whole answer from position 0; 0 if there are none
     */
    void answered(byte[] output, long tokenCount);

    /** Called when the upstream gave no answer. */
    void failed(UpstreamFailure failure);
  }
}
