package org.oriolewell.core.call;

import java.time.Instant;
import java.util.UUID;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An idempotency key with its time of issue. The key contains the time, so all processes read the
 * same time of issue from it even if their clocks differ.
 *
 * @param text the key as the caller sent it
 * @param issuedMillis time at which the caller created the key, in milliseconds since the epoch
 */
public record IdempotencyKey(String text, long issuedMillis) {
  private static final int MAX_KEY_LENGTH = 200;
  private static final Pattern TIMESTAMPED_KEY = Pattern.compile("(\\d{13})-[\\x21-\\x7e]+");
  private static final Pattern UUID_V7_KEY =
      Pattern.compile(
          "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[0-9a-fA-F]{4}-[0-9a-fA-F]{12}");
  private static final int UUID_TIMESTAMP_SHIFT_BITS = 16;

  /**
   * Parses an idempotency key: a UUIDv7, or {@code <13 digits of epoch milliseconds>-<printable
   * text>}.
   *
   * @throws InvalidKeyException if the text is too long or has neither form
   */
  public static IdempotencyKey parse(String text) throws InvalidKeyException {
    if (text.length() > MAX_KEY_LENGTH) {
      throw new InvalidKeyException(text.substring(0, MAX_KEY_LENGTH) + "...");
    }
    if (UUID_V7_KEY.matcher(text).matches()) {
      long highBits = UUID.fromString(text).getMostSignificantBits();
      return new IdempotencyKey(text, highBits >>> UUID_TIMESTAMP_SHIFT_BITS);
    }
    Matcher timestampedKey = TIMESTAMPED_KEY.matcher(text);
    if (timestampedKey.matches()) {
      return new IdempotencyKey(text, Long.parseLong(timestampedKey.group(1)));
    }
    throw new InvalidKeyException(text);
  }

  /** Creates a random UUIDv7 key that is issued at the given time. */
  public static IdempotencyKey generate(Instant issuedAt, RandomGenerator random) {
    long issuedMillis = issuedAt.toEpochMilli();
    long highBits = (issuedMillis << UUID_TIMESTAMP_SHIFT_BITS) | 0x7000 | random.nextLong(0x1000);
    long lowBits = (random.nextLong() & 0x3fff_ffff_ffff_ffffL) | 0x8000_0000_0000_0000L;
    return new IdempotencyKey(new UUID(highBits, lowBits).toString(), issuedMillis);
  }
}
