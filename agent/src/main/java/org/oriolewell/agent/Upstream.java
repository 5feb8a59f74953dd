package org.oriolewell.agent;

import java.util.List;

/** The upstream beside the agent. */
interface Upstream {
  /**
   * Starts a call.
   *
   * @param sink receives the answer, on any thread
   */
  Running run(UpstreamCall call, Sink sink);

  /** Checks a call before it is queued; returns what is wrong with it, or an empty string. */
  String check(UpstreamCall call);

  /** A call at the upstream. */
  interface Running {
    /** Ends the call and its work at the upstream. The sink may still be called once. */
    void cancel();

    /** Lets the next part of a token stream be read. */
    void more();
  }

  /** Receives the answer: any number of tokens, then exactly one of the other two. */
  interface Sink {
    /**
     * Takes consecutive tokens. No more follow until {@link Running#more} is called.
     *
     * @param position position of the first token, from 0
     */
    void tokens(long position, List<String> items);

    /**
     * Takes the end of the answer.
     *
     * @param output output as JSON; empty if it was sent as tokens
     * @param count number of tokens from position 0; 0 if there are none
     */
    void answered(byte[] output, long count);

    /** Takes the reason why there is no answer. */
    void failed(UpstreamFailure failure);
  }
}
