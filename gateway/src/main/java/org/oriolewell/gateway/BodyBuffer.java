package org.oriolewell.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Body of a request while it arrives. It grows by segments, so that it takes up little more memory
 * than its bytes, however small the chunks are in which they come.
 */
final class BodyBuffer {
  private static final int FIRST_SEGMENT_BYTES = 1 << 10;
  private static final int MAX_SEGMENT_BYTES = 64 << 10;
  private static final byte[] NOTHING = new byte[0];

  private final List<byte[]> segments = new ArrayList<>(1);
  private final long expectedBytes;
  private byte[] last = NOTHING;
  private int lastUsed;
  private int size;
  private int capacity;

  /**
   * Creates an empty body.
   *
   * @param expectedBytes length that the head states; negative if it states none
   */
  BodyBuffer(long expectedBytes) {
    this.expectedBytes = expectedBytes;
  }

  /** Returns the number of received bytes. */
  int size() {
    return size;
  }

  /** Returns the memory in use, in bytes. */
  int capacity() {
    return capacity;
  }

  /** Adds the remaining bytes of a buffer. */
  void append(ByteBuffer content) {
    while (content.hasRemaining()) {
      if (lastUsed == last.length) {
        addSegment(content.remaining());
      }
      int part = Math.min(content.remaining(), last.length - lastUsed);
      content.get(last, lastUsed, part);
      lastUsed += part;
      size += part;
    }
  }

  private void addSegment(int neededBytes) {
    long wanted =
        expectedBytes > size
            ? expectedBytes - size
            : Math.max(Math.max(FIRST_SEGMENT_BYTES, neededBytes), size);
    last = new byte[(int) Math.min(MAX_SEGMENT_BYTES, wanted)];
    lastUsed = 0;
    segments.add(last);
    capacity += last.length;
  }

  /** Returns all received bytes. */
  byte[] toByteArray() {
    if (segments.size() <= 1 && size == last.length) {
      return last;
    }
    byte[] whole = new byte[size];
    int position = 0;
    for (byte[] segment : segments) {
      int part = Math.min(segment.length, size - position);
      System.arraycopy(segment, 0, whole, position, part);
      position += part;
    }
    return whole;
  }
}
