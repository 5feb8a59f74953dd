package org.oriolewell.runtime.http;

/**
 * Reports that a server holds as many bytes of request bodies as it can. The request has not run;
 * the caller should retry it later.
 */
public final class BodyMemoryException extends Exception {
  private static final long serialVersionUID = 1L;

  BodyMemoryException(long maxBytes) {
    super(
        "the server holds "
            + maxBytes
            + " bytes of request bodies, which is its limit; retry later, and send bodies whole");
  }
}
