package org.oriolewell.loadtool;

import java.util.SplittableRandom;
import java.util.UUID;

/** Inputs and keys of requests, which depend on the arrival only. */
final class RequestContent {
  private static final String[] WORDS = {
    "wire ",
    "span ",
    "pole ",
    "clamp ",
    "survey ",
    "line ",
    "permit ",
    "defect ",
    "photo ",
    "shed ",
    "crossing ",
    "tension "
  };
  private static final long VERSION_7 = 0x7000L;
  private static final long VARIANT = 0x8000000000000000L;

  private RequestContent() {}

  /**
   * Returns the input: the shared part of one of the groups, then a part of its own. Group 0 is the
   * most frequent, as a few prompts make up most of the traffic.
   */
  static String input(Arrival arrival) {
    Workload.Traffic traffic = arrival.traffic();
    SplittableRandom random = new SplittableRandom(arrival.random());
    StringBuilder text = new StringBuilder();
    if (traffic.prefixBytes() > 0) {
      double skewed = random.nextDouble() * random.nextDouble();
      long group = (long) (skewed * Math.max(1, traffic.prefixGroups()));
      SplittableRandom shared = new SplittableRandom(traffic.pipeline().hashCode() * 1000L + group);
      append(text, shared, traffic.prefixBytes());
    }
    append(text, random, traffic.prefixBytes() + traffic.inputBytes());
    return text.toString();
  }

  /** Appends words until the text has a length. */
  private static void append(StringBuilder text, SplittableRandom random, int length) {
    while (text.length() < length) {
      text.append(WORDS[random.nextInt(WORDS.length)]);
    }
    text.setLength(length);
  }

  /** Returns the idempotency key, or an empty text for none. */
  static String key(Arrival arrival, long epochMillis) {
    return switch (arrival.traffic().keys()) {
      case NONE -> "";
      case TIME -> epochMillis + "-" + Long.toHexString(arrival.random());
      case UUID -> uuid(epochMillis, arrival.random()).toString();
    };
  }

  private static UUID uuid(long epochMillis, long random) {
    long high = epochMillis << 16 | VERSION_7 | (random >>> 52);
    return new UUID(high, VARIANT | (random >>> 2));
  }
}
