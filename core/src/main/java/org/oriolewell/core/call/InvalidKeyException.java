package org.oriolewell.core.call;

/** Reports an idempotency key without a readable time of issue. The caller must send another. */
public final class InvalidKeyException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidKeyException(String text) {
    super(
        "idempotency key '"
            + text
            + "' carries no time of issue; send a UUIDv7 or"
            + " <milliseconds since the epoch>-<text>, made once and reused in each retry");
  }
}
