package org.oriolewell.core.routing;

/** Hash functions for rendezvous hashing; the same in every process. */
public final class Hashing {
  private Hashing() {}

  /** Returns the finalizer of MurmurHash3 of a value. */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  /** Returns a 64-bit hash of a string. */
  public static long of(String text) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    return mix(hash);
  }

  /** Returns the rendezvous rank of a member for a key; the highest rank comes first. */
  public static long rank(long key, long member) {
    return mix(key ^ mix(member));
  }
}
