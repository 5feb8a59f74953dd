package org.oriolewell.loadtool;

/** What a caller knows about a request when it has ended. */
enum Outcome {
  /** The whole answer arrived. */
  ANSWERED,
  /** The system said that the request did not run. */
  NOT_RUN,
  /** The system said that it doesn't know whether the request ran. */
  UNKNOWN,
  /** An answer began but is not whole, or the connection failed. */
  BROKEN,
  /** Any other answer. */
  FAILED
}
