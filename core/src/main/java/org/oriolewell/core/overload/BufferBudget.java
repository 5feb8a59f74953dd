package org.oriolewell.core.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the memory of all buffers of a process together by choosing buffers to discard.
 *
 * <p>Load pattern: faulty upstreams send bytes without end in many answers at once, or callers
 * don't read what is sent to them. Each buffer is within its own limit; their sum exceeds the
 * memory. If the buffer that grows next were discarded, sound answers would be lost as often as
 * faulty ones. The largest buffers are discarded, since those of sound answers are small and soon
 * empty. Not thread-safe.
 */
public final class BufferBudget {
  /**
   * Part of the budget that remains in use after buffers were discarded, so that the buffers are
   * not counted again for each byte.
   */
  private static final double USED_SHARE_AFTER_DISCARD = 0.875;

  /** A buffer that grows while input arrives or output waits. */
  public interface Buffer {
    /** Returns its present size, in bytes. */
    long bytes();

    /** Gives up what the buffer holds, and what it was filled for. */
    void discard();
  }

  private final long maxBytes;
  private final Set<Buffer> buffers = new LinkedHashSet<>();

  /** Upper bound of the sum of all buffers; exact after a count, since buffers shrink unnoticed. */
  private long upperBound;

  private BufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Returns a budget without buffers.
   *
   * @param maxBytes largest sum of the sizes of all buffers, in bytes
   */
  public static BufferBudget of(long maxBytes) {
    return new BufferBudget(maxBytes);
  }

  /** Adds an empty buffer; does nothing if it was added before. */
  public void add(Buffer buffer) {
    buffers.add(buffer);
  }

  /** Removes a buffer; does nothing if it isn't in the budget. */
  public void remove(Buffer buffer) {
    buffers.remove(buffer);
  }

  /** Returns the sum of the sizes of all buffers, in bytes. */
  public long bytes() {
    return buffers.stream().mapToLong(Buffer::bytes).sum();
  }

  /**
   * Records that a buffer has grown, and returns the buffers to discard now, the largest first;
   * they are removed from the budget.
   *
   * @param addedBytes bytes that were added to any buffer
   */
  public List<Buffer> grown(long addedBytes) {
    upperBound += addedBytes;
    if (upperBound <= maxBytes) {
      return List.of();
    }
    upperBound = bytes();
    return upperBound <= maxBytes ? List.of() : takeLargest();
  }

  private List<Buffer> takeLargest() {
    List<Buffer> largestFirst = new ArrayList<>(buffers);
    largestFirst.sort(Comparator.comparingLong(Buffer::bytes).reversed());
    List<Buffer> discarded = new ArrayList<>();
    for (Buffer buffer : largestFirst) {
      if (upperBound <= maxBytes * USED_SHARE_AFTER_DISCARD) {
        break;
      }
      upperBound -= buffer.bytes();
      buffers.remove(buffer);
      discarded.add(buffer);
    }
    return discarded;
  }
}
