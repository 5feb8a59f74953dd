package org.oriolewell.core.call;

import java.time.Instant;
import java.util.UUID;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An idempotency key with its time of issue. The time is part of the key, so that all processes
 * agree on it whatever their clocks say.
 *
 * @param text the key as the caller sent it
 * @param issuedMillis time of issue, in milliseconds since the epoch
 */
public record IdempotencyKey(String text, long issuedMillis) {
  private static final int MAX_LENGTH = 200;
  private static final Pattern TIMED = Pattern.compile("(\\d{13})-[\\x21-\\x7e]+");
  private static final Pattern UUID_V7 =
      Pattern.compile(
          "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[0-9a-fA-F]{4}-[0-9a-fA-F]{12}");
  private static final int UUID_TIME_SHIFT = 16;

  /**
   * Reads a key: a UUIDv7, or {@code <13 digits of epoch milliseconds>-<printable text>}.
   *
   * @throws InvalidKeyException if the key has another form
   */
  public static IdempotencyKey parse(String text) throws InvalidKeyException {
    if (text.length() > MAX_LENGTH) {
      throw new InvalidKeyException(text.substring(0, MAX_LENGTH) + "...");
    }
    if (UUID_V7.matcher(text).matches()) {
      long high = UUID.fromString(text).getMostSignificantBits();
      return new IdempotencyKey(text, high >>> UUID_TIME_SHIFT);
    }
    Matcher timed = TIMED.matcher(text);
    if (timed.matches()) {
      return new IdempotencyKey(text, Long.parseLong(timed.group(1)));
    }
    throw new InvalidKeyException(text);
  }

  /** Returns a new UUIDv7. */
  public static IdempotencyKey generate(Instant now, RandomGenerator random) {
    long millis = now.toEpochMilli();
    long high = (millis << UUID_TIME_SHIFT) | 0x7000 | random.nextLong(0x1000);
    long low = (random.nextLong() & 0x3fff_ffff_ffff_ffffL) | 0x8000_0000_0000_0000L;
    return new IdempotencyKey(new UUID(high, low).toString(), millis);
  }
}
