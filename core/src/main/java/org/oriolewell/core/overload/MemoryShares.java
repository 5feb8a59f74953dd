package org.oriolewell.core.overload;

/**
 * Division of a process's heap between what callers send, what is sent to them, and everything
 * else. The rest is left to the configuration, the store, other gateways and the readiness check.
 *
 * @param inputBytes most memory for connections and requests of callers
 * @param responseBytes most memory for responses in progress and output that callers don't read
 */
public record MemoryShares(long inputBytes, long responseBytes) {
  /**
   * Part of the heap for requests: 300 MB of heap hold twenty of the largest usual bodies. The old
   * generation has two thirds of the heap, so that both parts fit into it beside 10% of other data.
   */
  private static final double INPUT_PART = 0.3;

  /** Largest part of the heap for responses, whatever the settings say. */
  private static final double MAX_RESPONSE_PART = 0.25;

  /** Least memory for requests, since a gateway without any could serve nobody. */
  private static final long MIN_INPUT_BYTES = 2 << 20;

  /**
   * Returns the division of a heap.
   *
   * @param heapBytes largest size of the heap
   * @param maxInputBytes configured memory for requests; 0 for a part of the heap
   * @param maxResponseBytes configured memory for responses
   */
  public static MemoryShares of(long heapBytes, long maxInputBytes, long maxResponseBytes) {
    long inputBytes =
        maxInputBytes > 0
            ? maxInputBytes
            : Math.max(MIN_INPUT_BYTES, (long) (heapBytes * INPUT_PART));
    long responseBytes = Math.min(maxResponseBytes, (long) (heapBytes * MAX_RESPONSE_PART));
    return new MemoryShares(inputBytes, responseBytes);
  }
}
