package org.oriolewell.runtime.wire;

import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.net.OutputQueue;

/**
 * A connection that carries {@link Message}s, each in a frame of a 4-byte length and a MessagePack
 * array. Messages may be sent from any thread and keep the order in which {@link #send} was called.
 */
public final class WireConnection extends AbstractConnection {
  /** Largest frame that is accepted by default, in bytes. */
  public static final int DEFAULT_MAX_FRAME_BYTES = 1 << 20;

  private static final int LENGTH_BYTES = 4;
  private static final int READ_BYTES = 16 << 10;
  private static final int MAX_QUEUED_BYTES = 16 << 20;

  /** Receives what happens on a connection. Calls for one connection never overlap. */
  public interface Listener {
    /** Called once when the connection is open. */
    default void onOpened(WireConnection connection) {}

    /** Called for each message, in the order of arrival. It must not block. */
    void onMessage(WireConnection connection, Message message);

    /**
     * Called once when the connection is closed.
     *
     * @param cause the failure, or null after an ordinary close
     */
    void onClosed(WireConnection connection, @Nullable Throwable cause);
  }

  private final Listener listener;
  private final int maxFrameBytes;
  private final OutputQueue output;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final ByteBuffer chunk = BufferUtil.allocate(READ_BYTES);
  private ByteBuffer input = ByteBuffer.allocate(READ_BYTES);

  WireConnection(EndPoint endPoint, Executor executor, Listener listener, int maxFrameBytes) {
    super(endPoint, executor);
    this.listener = listener;
    this.maxFrameBytes = maxFrameBytes;
    this.output = new OutputQueue(endPoint, MAX_QUEUED_BYTES, this::fail);
  }

  /** Returns a connection on an endpoint that is about to be opened. */
  public static WireConnection of(
      EndPoint endPoint, Executor executor, Listener listener, int maxFrameBytes) {
    return new WireConnection(endPoint, executor, listener, maxFrameBytes);
  }

  /** Returns the peer's address. */
  public SocketAddress remoteAddress() {
    return getEndPoint().getRemoteSocketAddress();
  }

  /** Returns whether the connection is still open. */
  public boolean isOpen() {
    return !closed.get() && getEndPoint().isOpen();
  }

  /**
   * Queues a message for sending.
   *
   * @return false if the connection is closed, in which case the message was not sent
   */
  public boolean send(Message message) {
    byte[] body = MessageCodec.encode(message);
    if (body.length > maxFrameBytes) {
      throw new IllegalArgumentException(
          "a message of " + body.length + " bytes exceeds the frame limit of " + maxFrameBytes);
    }
    ByteBuffer frame = ByteBuffer.allocate(LENGTH_BYTES + body.length);
    frame.putInt(body.length).put(body).flip();
    if (!isOpen()) {
      return false;
    }
    if (!output.write(frame)) {
      fail(new WireException("the peer does not read; more than 16 MiB are waiting"));
      return false;
    }
    return true;
  }

  @Override
  public void onOpen() {
    super.onOpen();
    listener.onOpened(this);
    fillInterested();
  }

  @Override
  public void onFillable() {
    try {
      while (true) {
        int filled = getEndPoint().fill(chunk);
        if (filled < 0) {
          fail(null);
          return;
        }
        if (filled == 0) {
          fillInterested();
          return;
        }
        append();
        parse();
      }
    } catch (Exception e) {
      fail(e);
    }
  }

  private void append() {
    if (input.remaining() < chunk.remaining()) {
      ByteBuffer larger = ByteBuffer.allocate(input.capacity() * 2 + chunk.remaining());
      input.flip();
      larger.put(input);
      input = larger;
    }
    input.put(chunk);
    BufferUtil.clear(chunk);
  }

  private void parse() throws WireException {
    input.flip();
    while (input.remaining() >= LENGTH_BYTES) {
      int length = input.getInt(input.position());
      if (length <= 0 || length > maxFrameBytes) {
        throw new WireException(
            "a frame claims " + length + " bytes; the limit is " + maxFrameBytes);
      }
      if (input.remaining() < LENGTH_BYTES + length) {
        break;
      }
      input.position(input.position() + LENGTH_BYTES);
      byte[] body = new byte[length];
      input.get(body);
      listener.onMessage(this, MessageCodec.decode(body));
    }
    input.compact();
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    fail(cause);
  }

  @Override
  public boolean onIdleExpired(TimeoutException timeout) {
    // Heartbeats decide whether a peer is dead.
    return false;
  }

  @Override
  public void onClose(Throwable cause) {
    super.onClose(cause);
    notifyClosed(cause);
  }

  @Override
  public void close() {
    fail(null);
  }

  private void fail(@Nullable Throwable cause) {
    notifyClosed(cause);
    getEndPoint().close(cause);
  }

  private void notifyClosed(@Nullable Throwable cause) {
    if (closed.compareAndSet(false, true)) {
      listener.onClosed(this, cause);
    }
  }
}
