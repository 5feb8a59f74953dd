package org.oriolewell.core.routing;

/** Hash functions for rendezvous hashing, with the same results in every process. */
public final class Hashing {
  /** Bits of a hash that a double has no place for. */
  private static final int DROPPED_BITS = 11;

  /** Difference of the numbers between 0 and 1 that the other bits stand for. */
  private static final double UNIT = 0x1p-53;

  private Hashing() {}

  /** Returns a value scrambled by the finalizer of MurmurHash3. */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  /** Returns a 64-bit hash of a string (FNV-1a over its characters, then {@link #mix}). */
  public static long of(String text) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    return mix(hash);
  }

  /**
   * Returns the rendezvous rank of a member for a key; the member with the highest rank is
   * preferred.
   *
   * @param key hash of the key
   * @param member hash of the member's name
   */
  public static long rank(long key, long member) {
    return mix(key ^ mix(member));
  }

  /**
   * Returns the rank of a member for a key in weighted rendezvous hashing: each member is preferred
   * for a share of the keys in proportion to its weight, and a change of one weight moves only keys
   * from or to that member. Members of equal weight have the order of {@link #rank}.
   *
   * @param key hash of the key
   * @param member hash of the member's name
   * @param weight weight of the member, above 0
   */
  public static double weightedRank(long key, long member, double weight) {
    long unsignedRank = rank(key, member) ^ Long.MIN_VALUE;
    double uniform = ((unsignedRank >>> DROPPED_BITS) + 0.5) * UNIT;
    return -weight / Math.log(uniform);
  }
}
