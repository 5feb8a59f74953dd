package org.oriolewell.runtime.wire;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Transport;
import org.eclipse.jetty.io.ssl.SslClientConnectionFactory;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** Opens connections that carry {@link Message}s. One client serves a whole process. */
public final class WireClient implements AutoCloseable {
  private final ClientConnector connector = new ClientConnector();
  private final int maxFrameBytes;
  private final SslContextFactory.@Nullable Client tls;

  private WireClient(
      Duration connectTimeout, int maxFrameBytes, SslContextFactory.@Nullable Client tls) {
    this.maxFrameBytes = maxFrameBytes;
    this.tls = tls;
    QueuedThreadPool threads = new QueuedThreadPool(32, 4);
    threads.setName("wire-client");
    connector.setExecutor(threads);
    connector.setSelectors(1);
    connector.setConnectTimeout(connectTimeout);
    connector.setTCPNoDelay(true);
    connector.setIdleTimeout(Duration.ZERO);
    if (tls != null) {
      connector.setSslContextFactory(tls);
    }
  }

  /**
   * Returns a started client.
   *
   * @param connectTimeout longest time that opening a connection may take
   * @param maxFrameBytes largest frame that is sent or accepted, in bytes
   * @param tls TLS settings; null for plain TCP
   */
  public static WireClient start(
      Duration connectTimeout, int maxFrameBytes, SslContextFactory.@Nullable Client tls) {
    WireClient client = new WireClient(connectTimeout, maxFrameBytes, tls);
    try {
      client.connector.start();
    } catch (Exception e) {
      throw new IllegalStateException("the connector cannot be started", e);
    }
    return client;
  }

  /**
   * Opens a connection. The listener's {@link WireConnection.Listener#onOpened} is called before
   * the future completes.
   *
   * @return the open connection; fails if it can't be opened
   */
  public CompletableFuture<WireConnection> connect(
      InetSocketAddress address, WireConnection.Listener listener) {
    CompletableFuture<WireConnection> openedConnection = new CompletableFuture<>();
    ClientConnectionFactory wireFactory =
        (endPoint, context) -> {
          WireConnection connection =
              new WireConnection(
                  endPoint,
                  connector.getExecutor(),
                  completingOnOpen(listener, openedConnection),
                  maxFrameBytes);
          return connection;
        };
    ClientConnectionFactory factory =
        tls == null
            ? wireFactory
            : new SslClientConnectionFactory(
                tls, connector.getByteBufferPool(), connector.getExecutor(), wireFactory);
    Map<String, Object> context = new HashMap<>();
    context.put(ClientConnectionFactory.CONTEXT_KEY, factory);
    context.put(Transport.CONTEXT_KEY, Transport.TCP_IP);
    context.put(
        ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY,
        Promise.<Connection>from(connection -> {}, openedConnection::completeExceptionally));
    connector.connect(address, context);
    return openedConnection;
  }

  private static WireConnection.Listener completingOnOpen(
      WireConnection.Listener listener, CompletableFuture<WireConnection> openedConnection) {
    return new WireConnection.Listener() {
      @Override
      public void onOpened(WireConnection connection) {
        listener.onOpened(connection);
        openedConnection.complete(connection);
      }

      @Override
      public void onMessage(WireConnection connection, Message message) {
        listener.onMessage(connection, message);
      }

      @Override
      public void onClosed(WireConnection connection, @Nullable Throwable cause) {
        openedConnection.completeExceptionally(
            cause == null ? new WireException("the connection was closed") : cause);
        listener.onClosed(connection, cause);
      }
    };
  }

  @Override
  public void close() {
    try {
      connector.stop();
    } catch (Exception e) {
      throw new IllegalStateException("the connector cannot be stopped", e);
    }
  }
}
