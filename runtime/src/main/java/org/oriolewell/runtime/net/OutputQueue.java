package org.oriolewell.runtime.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.IteratingCallback;

/**
 * Writes buffers to a network endpoint in the order in which they were queued, several in one write
 * where possible. Thread-safe.
 */
public final class OutputQueue extends IteratingCallback {
  /**
   * Bytes handed to the endpoint in one write. The Java library copies all of them to native memory
   * for each attempt, also if the peer accepts few, so that a long queue to a slow peer would be
   * copied again and again.
   */
  private static final int MAX_BYTES_PER_WRITE = 128 << 10;

  private final EndPoint endPoint;
  private final Consumer<Throwable> onFailure;
  private final Deque<ByteBuffer> queuedBuffers = new ArrayDeque<>();
  private final long maxQueuedBytes;
  private long queuedBytes;
  private long writingBytes;

  /**
   * Creates an empty queue.
   *
   * @param endPoint endpoint to write to
   * @param maxQueuedBytes most bytes that may be queued while the peer does not read
   * @param onFailure called once with the cause if a write to the endpoint fails
   */
  public OutputQueue(EndPoint endPoint, long maxQueuedBytes, Consumer<Throwable> onFailure) {
    this.endPoint = endPoint;
    this.maxQueuedBytes = maxQueuedBytes;
    this.onFailure = onFailure;
  }

  /**
   * Queues buffers for the endpoint and starts writing them if no write is in progress.
   *
   * @return false if the buffers would exceed the limit of queued bytes; none of them was queued
   *     then
   */
  public boolean write(ByteBuffer... buffers) {
    synchronized (this) {
      long addedBytes = 0;
      for (ByteBuffer buffer : buffers) {
        addedBytes += buffer.remaining();
      }
      if (queuedBytes + addedBytes > maxQueuedBytes) {
        return false;
      }
      queuedBytes += addedBytes;
      queuedBuffers.addAll(List.of(buffers));
    }
    iterate();
    return true;
  }

  /** Returns the bytes that are queued or being written. */
  public synchronized long queuedBytes() {
    return queuedBytes;
  }

  /** Returns whether no buffer is queued and no write is in progress. */
  public synchronized boolean idle() {
    return queuedBytes == 0 && queuedBuffers.isEmpty();
  }

  @Override
  protected Action process() {
    List<ByteBuffer> batch;
    synchronized (this) {
      queuedBytes -= writingBytes;
      writingBytes = 0;
      if (queuedBuffers.isEmpty()) {
        return Action.IDLE;
      }
      batch = takeBatch();
    }
    endPoint.write(this, batch.toArray(ByteBuffer[]::new));
    return Action.SCHEDULED;
  }

  private List<ByteBuffer> takeBatch() {
    List<ByteBuffer> batch = new ArrayList<>();
    while (!queuedBuffers.isEmpty() && writingBytes < MAX_BYTES_PER_WRITE) {
      ByteBuffer first = queuedBuffers.getFirst();
      int part = (int) Math.min(first.remaining(), MAX_BYTES_PER_WRITE - writingBytes);
      if (part == first.remaining()) {
        batch.add(queuedBuffers.removeFirst());
      } else {
        batch.add(first.slice(first.position(), part));
        first.position(first.position() + part);
      }
      writingBytes += part;
    }
    return batch;
  }

  @Override
  protected void onCompleteFailure(Throwable cause) {
    onFailure.accept(cause);
  }

  @Override
  public InvocationType getInvocationType() {
    return InvocationType.NON_BLOCKING;
  }
}
