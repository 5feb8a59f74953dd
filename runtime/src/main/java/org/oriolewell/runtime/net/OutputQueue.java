package org.oriolewell.runtime.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.IteratingCallback;

/** Writes buffers to an endpoint in order, several in one write where possible. Thread-safe. */
public final class OutputQueue extends IteratingCallback {
  private final EndPoint endPoint;
  private final Consumer<Throwable> onFailure;
  private final Deque<ByteBuffer> queue = new ArrayDeque<>();
  private final long maxQueuedBytes;
  private long queuedBytes;
  private long writingBytes;

  /**
   * Creates an empty queue.
   *
   * @param maxQueuedBytes bytes that may wait for a peer that does not read
   * @param onFailure called once if a write fails
   */
  public OutputQueue(EndPoint endPoint, long maxQueuedBytes, Consumer<Throwable> onFailure) {
    this.endPoint = endPoint;
    this.maxQueuedBytes = maxQueuedBytes;
    this.onFailure = onFailure;
  }

  /**
   * Queues buffers and begins to write them.
   *
   * @return false if too many bytes wait; nothing was queued
   */
  public boolean write(ByteBuffer... buffers) {
    synchronized (this) {
      long bytes = 0;
      for (ByteBuffer buffer : buffers) {
        bytes += buffer.remaining();
      }
      if (queuedBytes + bytes > maxQueuedBytes) {
        return false;
      }
      queuedBytes += bytes;
      queue.addAll(List.of(buffers));
    }
    iterate();
    return true;
  }

  /** Returns whether nothing waits and no write is in progress. */
  public synchronized boolean idle() {
    return queuedBytes == 0 && queue.isEmpty();
  }

  @Override
  protected Action process() {
    List<ByteBuffer> batch;
    synchronized (this) {
      queuedBytes -= writingBytes;
      writingBytes = 0;
      if (queue.isEmpty()) {
        return Action.IDLE;
      }
      batch = new ArrayList<>(queue);
      queue.clear();
      batch.forEach(buffer -> writingBytes += buffer.remaining());
    }
    endPoint.write(this, batch.toArray(ByteBuffer[]::new));
    return Action.SCHEDULED;
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
