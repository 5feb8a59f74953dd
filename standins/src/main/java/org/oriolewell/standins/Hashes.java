package org.oriolewell.standins;

import java.nio.charset.StandardCharsets;

/** Hashes that are the same in each run: 64-bit FNV-1a and its finalizer. */
final class Hashes {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashes() {}

  static long of(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return extend(FNV_OFFSET, bytes, 0, bytes.length);
  }

  /** Returns the hash of nothing, which {@link #extend} continues. */
  static long empty() {
    return FNV_OFFSET;
  }

  /** Returns the hash of the bytes hashed so far followed by further ones. */
  static long extend(long hash, byte[] bytes, int from, int to) {
    long result = hash;
    for (int i = from; i < to; i++) {
      result = (result ^ (bytes[i] & 0xff)) * FNV_PRIME;
    }
    return result;
  }

  /** Returns a value whose bits all depend on all bits of the given one. */
  static long mix(long value) {
    long z = value + 0x9e3779b97f4a7c15L;
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  /** Returns a hash as 16 hexadecimal digits. */
  static String hex(long hash) {
    return String.format("%016x", hash);
  }
}
