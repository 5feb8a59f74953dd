package org.oriolewell.runtime.wire;

import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.AbstractConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;

/** A TCP server whose connections carry {@link Message}s, with or without TLS. */
public final class WireServer implements AutoCloseable {
  private static final String PROTOCOL_NAME = "oriolewell";

  private final Server server;
  private final ServerConnector connector;
  private final EventLog log;

  private WireServer(
      InetSocketAddress address,
      Supplier<WireConnection.Listener> listeners,
      int maxFrameBytes,
      SslContextFactory.@Nullable Server tls,
      EventLog log) {
    this.log = log;
    QueuedThreadPool threads = new QueuedThreadPool(32, 4);
    threads.setName("wire");
    server = new Server(threads);
    WireConnectionFactory wireFactory = new WireConnectionFactory(listeners, maxFrameBytes);
    connector =
        tls == null
            ? new ServerConnector(server, 1, 1, wireFactory)
            : new ServerConnector(
                server, 1, 1, new SslConnectionFactory(tls, PROTOCOL_NAME), wireFactory);
    connector.setHost(address.getHostString());
    connector.setPort(address.getPort());
    connector.setAcceptedTcpNoDelay(true);
    server.addConnector(connector);
  }

  /**
   * Returns a server that isn't started yet.
   *
   * @param address address to bind; with port 0 the operating system chooses a free port
   * @param listeners creates the listener of each accepted connection
   * @param maxFrameBytes largest accepted frame, in bytes
   * @param tls TLS settings; null for plain TCP
   * @param log log for the bound address and for failures
   */
  public static WireServer of(
      InetSocketAddress address,
      Supplier<WireConnection.Listener> listeners,
      int maxFrameBytes,
      SslContextFactory.@Nullable Server tls,
      EventLog log) {
    return new WireServer(address, listeners, maxFrameBytes, tls, log);
  }

  /**
   * Starts listening and logs the bound address.
   *
   * @param portName name of the port in the log event
   * @throws IllegalStateException if the address can't be bound
   */
  public WireServer start(String portName) {
    try {
      server.start();
    } catch (Exception e) {
      throw new IllegalStateException(
          "cannot listen on "
              + connector.getHost()
              + ":"
              + connector.getPort()
              + "; choose a free address",
          e);
    }
    log.event(RuntimeEvent.LISTENING)
        .with("port", portName)
        .with("address", address().getHostString() + ":" + address().getPort())
        .write();
    return this;
  }

  /** Returns the bound address with the actual port. */
  public InetSocketAddress address() {
    return new InetSocketAddress(connector.getHost(), connector.getLocalPort());
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      log.event(RuntimeEvent.HANDLER_FAILED).cause(e).write();
    }
  }

  private static final class WireConnectionFactory extends AbstractConnectionFactory {
    private final Supplier<WireConnection.Listener> listeners;
    private final int maxFrameBytes;

    WireConnectionFactory(Supplier<WireConnection.Listener> listeners, int maxFrameBytes) {
      super(PROTOCOL_NAME);
      this.listeners = listeners;
      this.maxFrameBytes = maxFrameBytes;
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
      WireConnection connection =
          new WireConnection(endPoint, connector.getExecutor(), listeners.get(), maxFrameBytes);
      return configure(connection, connector, endPoint);
    }
  }
}
