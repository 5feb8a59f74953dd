package org.oriolewell.core.call;

/** Thrown for an idempotency key that contains no time of issue; the caller must send another. */
public final class InvalidKeyException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidKeyException(String keyText) {
    super(
        "idempotency key '"
            + keyText
            + "' carries no time of issue; send a UUIDv7 or"
            + " <milliseconds since the epoch>-<text>, made once and reused in each retry");
  }
}
