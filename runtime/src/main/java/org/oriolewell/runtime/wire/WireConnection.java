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
 * A TCP or TLS connection that carries {@link Message}s. A frame is a 4-byte length followed by one
 * message as a MessagePack array. Messages may be sent from any thread and keep the order in which
 * {@link #send} was called.
 */
public final class WireConnection extends AbstractConnection {
  /** Default of the largest accepted frame, in bytes. */
  public static final int DEFAULT_MAX_FRAME_BYTES = 1 << 20;

  private static final int FRAME_LENGTH_BYTES = 4;
  private static final int READ_BUFFER_BYTES = 16 << 10;
  private static final int MAX_QUEUED_BYTES = 16 << 20;

  /**
   * Receives the messages and the state of a connection. Calls for one connection never overlap.
   */
  public interface Listener {
    /** Called once, when the connection has been opened. */
    default void onOpened(WireConnection connection) {}

    /** Called for each received message, in the order of arrival; must not block. */
    void onMessage(WireConnection connection, Message message);

    /**
     * Called once, when the connection has been closed by either side or has failed.
     *
     * @param cause failure that closed the connection; null after an orderly close
     */
    void onClosed(WireConnection connection, @Nullable Throwable cause);
  }

  private final Listener listener;
  private final int maxFrameBytes;
  private final OutputQueue output;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final ByteBuffer readBuffer = BufferUtil.allocate(READ_BUFFER_BYTES);
  private ByteBuffer unparsedInput = ByteBuffer.allocate(READ_BUFFER_BYTES);

  WireConnection(EndPoint endPoint, Executor executor, Listener listener, int maxFrameBytes) {
    super(endPoint, executor);
    this.listener = listener;
    this.maxFrameBytes = maxFrameBytes;
    this.output = new OutputQueue(endPoint, MAX_QUEUED_BYTES, this::closeWith);
  }

  /**
   * Returns the connection of a newly opened endpoint.
   *
   * @param executor executor of the connection's callbacks
   * @param maxFrameBytes largest frame that is sent or accepted, in bytes
   */
  public static WireConnection of(
      EndPoint endPoint, Executor executor, Listener listener, int maxFrameBytes) {
    return new WireConnection(endPoint, executor, listener, maxFrameBytes);
  }

  /** Returns the socket address of the peer. */
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
   * @return false if the connection is closed or too many bytes are queued for a peer that does not
   *     read, in which case the message was not sent
   * @throws IllegalArgumentException if the message exceeds the largest frame
   */
  public boolean send(Message message) {
    byte[] messageBytes = MessageCodec.encode(message);
    if (messageBytes.length > maxFrameBytes) {
      throw new IllegalArgumentException(
          "a message of "
              + messageBytes.length
              + " bytes exceeds the frame limit of "
              + maxFrameBytes);
    }
    ByteBuffer frame = ByteBuffer.allocate(FRAME_LENGTH_BYTES + messageBytes.length);
    frame.putInt(messageBytes.length).put(messageBytes).flip();
    if (!isOpen()) {
      return false;
    }
    if (!output.write(frame)) {
      closeWith(new WireException("the peer does not read; more than 16 MiB of output are queued"));
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
        int bytesRead = getEndPoint().fill(readBuffer);
        if (bytesRead < 0) {
          closeWith(null);
          return;
        }
        if (bytesRead == 0) {
          fillInterested();
          return;
        }
        appendReadBuffer();
        parseFrames();
      }
    } catch (Exception e) {
      closeWith(e);
    }
  }

  private void appendReadBuffer() {
    if (unparsedInput.remaining() < readBuffer.remaining()) {
      ByteBuffer largerBuffer =
          ByteBuffer.allocate(unparsedInput.capacity() * 2 + readBuffer.remaining());
      unparsedInput.flip();
      largerBuffer.put(unparsedInput);
      unparsedInput = largerBuffer;
    }
    unparsedInput.put(readBuffer);
    BufferUtil.clear(readBuffer);
  }

  private void parseFrames() throws WireException {
    unparsedInput.flip();
    while (unparsedInput.remaining() >= FRAME_LENGTH_BYTES) {
      int length = unparsedInput.getInt(unparsedInput.position());
      if (length <= 0 || length > maxFrameBytes) {
        throw new WireException(
            "a frame has a length of " + length + " bytes; the limit is " + maxFrameBytes);
      }
      if (unparsedInput.remaining() < FRAME_LENGTH_BYTES + length) {
        break;
      }
      unparsedInput.position(unparsedInput.position() + FRAME_LENGTH_BYTES);
      byte[] messageBytes = new byte[length];
      unparsedInput.get(messageBytes);
      listener.onMessage(this, MessageCodec.decode(messageBytes));
    }
    unparsedInput.compact();
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    closeWith(cause);
  }

  @Override
  public boolean onIdleExpired(TimeoutException timeout) {
    // The connection stays open when idle; heartbeats detect a dead peer.
    return false;
  }

  @Override
  public void onClose(Throwable cause) {
    super.onClose(cause);
    notifyClosed(cause);
  }

  @Override
  public void close() {
    closeWith(null);
  }

  private void closeWith(@Nullable Throwable cause) {
    notifyClosed(cause);
    getEndPoint().close(cause);
  }

  private void notifyClosed(@Nullable Throwable cause) {
    if (closed.compareAndSet(false, true)) {
      listener.onClosed(this, cause);
    }
  }
}
