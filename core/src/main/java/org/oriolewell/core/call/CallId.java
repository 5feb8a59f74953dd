package org.oriolewell.core.call;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Identity of a non-idempotent call: a 128-bit hash of workspace, pipeline, stage and key. Two
 * calls with the same identity must not both run.
 *
 * @param high upper half of the hash
 * @param low lower half of the hash
 */
public record CallId(long high, long low) {
  /** Returns the identity of a call. */
  public static CallId of(String workspace, String pipeline, int stage, String key) {
    HashCode hash =
        Hashing.sha256()
            .newHasher()
            .putInt(workspace.length())
            .putString(workspace, StandardCharsets.UTF_8)
            .putInt(pipeline.length())
            .putString(pipeline, StandardCharsets.UTF_8)
            .putInt(stage)
            .putString(key, StandardCharsets.UTF_8)
            .hash();
    byte[] bytes = hash.asBytes();
    return new CallId(number(bytes, 0), number(bytes, Long.BYTES));
  }

  private static long number(byte[] bytes, int offset) {
    return ByteBuffer.wrap(bytes).getLong(offset);
  }

  /**
   * Returns the shard that the call belongs to.
   *
   * @param shards number of shards of the pool, at least 1
   */
  public int shard(int shards) {
    return Math.floorMod(high, shards);
  }

  /** Returns the store key of a shard's record, which also names the shard. */
  public static String shardName(String pool, int shard) {
    return "calls/" + pool + "/" + shard;
  }
}
