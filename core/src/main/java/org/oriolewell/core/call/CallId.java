package org.oriolewell.core.call;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Identity of a non-idempotent call: a 128-bit hash of its workspace, pipeline, stage and
 * idempotency key. At most one call with a given identity may run.
 *
 * @param highBits upper 64 bits of the hash
 * @param lowBits lower 64 bits of the hash
 */
public record CallId(long highBits, long lowBits) {
  /** Hashes a call's workspace, pipeline, stage index and idempotency key into its identity. */
  public static CallId of(
      String workspace, String pipeline, int stageIndex, String idempotencyKey) {
    HashCode sha256 =
        Hashing.sha256()
            .newHasher()
            .putInt(workspace.length())
            .putString(workspace, StandardCharsets.UTF_8)
            .putInt(pipeline.length())
            .putString(pipeline, StandardCharsets.UTF_8)
            .putInt(stageIndex)
            .putString(idempotencyKey, StandardCharsets.UTF_8)
            .hash();
    byte[] hashBytes = sha256.asBytes();
    return new CallId(readLong(hashBytes, 0), readLong(hashBytes, Long.BYTES));
  }

  private static long readLong(byte[] hashBytes, int offset) {
    return ByteBuffer.wrap(hashBytes).getLong(offset);
  }

  /**
   * Returns the index of the shard that the call belongs to, counted from 0.
   *
   * @param shardCount number of shards of the call's pool, at least 1
   */
  public int shardIndex(int shardCount) {
    return Math.floorMod(highBits, shardCount);
  }

  /** Returns the name of a pool's shard, which is also the store key of the shard's record. */
  public static String shardName(String pool, int shardIndex) {
    return "calls/" + pool + "/" + shardIndex;
  }
}
