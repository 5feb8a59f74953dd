package org.oriolewell.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Input of one connection that was read and not parsed. It has no memory while it is empty, since
 * most connections are idle most of the time.
 */
final class CallerInput {
  /** Size of the first buffer: a usual request with its head. */
  private static final int FIRST_BYTES = 4 << 10;

  /** Size of the buffer while much is received. */
  private static final int USUAL_BYTES = 16 << 10;

  /** Bytes of pipelined requests that are read ahead; further ones stay in the kernel's buffer. */
  private static final int MAX_BYTES = 64 << 10;

  private static final ByteBuffer NONE = ByteBuffer.allocate(0);

  private ByteBuffer buffer = NONE;
  private boolean lastReadFull;

  /** Returns the unparsed bytes, which the parser consumes. */
  ByteBuffer buffer() {
    return buffer;
  }

  /** Returns whether nothing is left to parse. */
  boolean empty() {
    return !buffer.hasRemaining();
  }

  /** Returns whether as much was read ahead as is allowed. */
  boolean full() {
    return buffer.remaining() >= MAX_BYTES;
  }

  /** Returns the size of the memory in use, in bytes. */
  int capacity() {
    return buffer.capacity();
  }

  /** Reads what has arrived; returns the number of bytes, or -1 at the end of the input. */
  int fill(EndPoint endPoint) throws IOException {
    makeRoom();
    int filledBytes = endPoint.fill(buffer);
    lastReadFull = filledBytes > 0 && buffer.remaining() == buffer.capacity();
    return filledBytes;
  }

  private void makeRoom() {
    if (empty() && lastReadFull && buffer.capacity() < USUAL_BYTES) {
      buffer = allocate(USUAL_BYTES);
    } else if (buffer.capacity() == 0) {
      buffer = allocate(FIRST_BYTES);
    } else if (buffer.remaining() > buffer.capacity() / 2) {
      ByteBuffer larger =
          allocate(Math.min(MAX_BYTES, Math.max(USUAL_BYTES, buffer.capacity() * 2)));
      BufferUtil.append(larger, buffer);
      buffer = larger;
    } else {
      BufferUtil.compact(buffer);
    }
  }

  private static ByteBuffer allocate(int capacity) {
    return ByteBuffer.allocate(capacity).limit(0);
  }

  /** Gives up the unparsed bytes. */
  void clear() {
    buffer = NONE;
  }

  /** Gives up the memory if nothing is left to parse. */
  void releaseIfEmpty() {
    if (empty()) {
      buffer = NONE;
    }
  }
}
