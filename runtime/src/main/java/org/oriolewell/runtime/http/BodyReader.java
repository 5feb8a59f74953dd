package org.oriolewell.runtime.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads a request body chunk by chunk, up to a limit and within a server's budget. */
final class BodyReader implements Runnable {
  private final Request request;
  private final int maxBodyBytes;
  private final BodyBudget budget;
  private final BodyBudget.Body budgeted;
  private final CompletableFuture<byte[]> bodyFuture = new CompletableFuture<>();
  private final ByteArrayOutputStream receivedBytes = new ByteArrayOutputStream();

  BodyReader(Request request, int maxBodyBytes, BodyBudget budget) {
    this.request = request;
    this.maxBodyBytes = maxBodyBytes;
    this.budget = budget;
    budgeted = budget.add(System.nanoTime(), this::giveUp);
  }

  /** Starts reading; the future fails if the body is too large or can't be held. */
  CompletableFuture<byte[]> start() {
    if (request.getLength() > maxBodyBytes) {
      bodyFuture.completeExceptionally(new BodyTooLargeException(maxBodyBytes));
    } else {
      run();
    }
    return bodyFuture;
  }

  /** Releases the memory of the body, when its request has been answered. */
  void release() {
    budgeted.release();
  }

  private void giveUp() {
    bodyFuture.completeExceptionally(new BodyMemoryException(budget.maxBytes()));
  }

  @Override
  public void run() {
    while (!bodyFuture.isDone()) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        bodyFuture.completeExceptionally(chunk.getFailure());
        return;
      }
      ByteBuffer chunkBuffer = chunk.getByteBuffer();
      byte[] part = new byte[chunkBuffer.remaining()];
      chunkBuffer.get(part);
      final boolean last = chunk.isLast();
      chunk.release();
      if (!budgeted.grow(part.length, System.nanoTime())) {
        giveUp();
        return;
      }
      receivedBytes.writeBytes(part);
      if (receivedBytes.size() > maxBodyBytes) {
        bodyFuture.completeExceptionally(new BodyTooLargeException(maxBodyBytes));
        return;
      }
      if (last) {
        budgeted.complete();
        bodyFuture.complete(receivedBytes.toByteArray());
        return;
      }
    }
  }
}
