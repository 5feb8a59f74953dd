package org.oriolewell.gateway;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.eligibility.EligibleUpstream;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Sends requests to upstreams over pooled connections. Each start of an upstream has a pool of its
 * own, since another upstream may use the same address later. Used on the event loop only.
 */
final class UpstreamClient {
  /** Key of the connections to the store; not of the form of an upstream's key. */
  private static final String STORE_POOL_KEY = "store";

  private final EventLoop loop;
  private final Executor executor;
  private final String attemptIdHeader;
  private final AnswerMemory answerMemory;
  private final Ipv4SocketAddress storeAddress;
  private final int maxConnections;
  private final Map<String, Pool> poolsByKey = new HashMap<>();

  /** Connections that are open or being opened. */
  private int connectionCount;

  /** A request in progress, which can be canceled. */
  interface Call {
    /** Cancels the request; its listener isn't called any more. */
    void cancel();
  }

  /** The connections to one start of one upstream. */
  private final class Pool implements UpstreamConnection.Owner {
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
    private int openCount;

    @Nullable UpstreamConnection takeIdle(UpstreamRequest request, long now) {
      Iterator<UpstreamConnection> newestFirst = idleConnections.descendingIterator();
      while (newestFirst.hasNext()) {
        UpstreamConnection connection = newestFirst.next();
        if (connection.usable(now) && !connection.carriedBefore(request.attemptId())) {
          newestFirst.remove();
          return connection;
        }
      }
      return null;
    }

    void closeStale(long now) {
      for (UpstreamConnection connection : List.copyOf(idleConnections)) {
        if (!connection.usable(now)) {
          connection.close();
        }
      }
    }

    @Override
    public void onIdle(UpstreamConnection connection) {
      idleConnections.addLast(connection);
    }

    @Override
    public void onClosed(UpstreamConnection connection) {
      openCount--;
      connectionCount--;
      idleConnections.remove(connection);
    }
  }

  private UpstreamClient(
      EventLoop loop,
      String attemptIdHeader,
      AnswerMemory answerMemory,
      Ipv4SocketAddress storeAddress,
      int maxConnections) {
    this.maxConnections = maxConnections;
    this.loop = loop;
    this.attemptIdHeader = attemptIdHeader;
    this.answerMemory = answerMemory;
    this.storeAddress = storeAddress;
    this.executor = loop::execute;
  }

  /**
   * Returns a client that has no open connections.
   *
   * @param attemptIdHeader name of the header that carries the identifier of the answered attempt
   * @param answerMemory memory of the answers in progress
   * @param storeAddress IP address and port of the platform's store
   * @param maxConnections most connections, which the descriptors of the process allow
   */
  static UpstreamClient create(
      EventLoop loop,
      String attemptIdHeader,
      AnswerMemory answerMemory,
      Ipv4SocketAddress storeAddress,
      int maxConnections) {
    return new UpstreamClient(loop, attemptIdHeader, answerMemory, storeAddress, maxConnections);
  }

  /** Sends a request to the platform's store. */
  Call sendToStore(UpstreamRequest request, UpstreamListener listener) {
    return sendTo(STORE_POOL_KEY, storeAddress, request, listener);
  }

  /** Sends a request to an upstream that has passed the eligibility check. */
  Call send(EligibleUpstream target, UpstreamRequest request, UpstreamListener listener) {
    UpstreamInstance upstream = target.instance();
    return sendTo(poolKey(upstream), upstream.address(), request, listener);
  }

  /**
   * Sends a request over an idle connection, or over a new one if there is none.
   *
   * @param poolKey identifies one start of one upstream, whose connections are reused
   * @param address IP address and port of the upstream
   */
  private Call sendTo(
      String poolKey,
      Ipv4SocketAddress address,
      UpstreamRequest request,
      UpstreamListener listener) {
    Pool pool = poolsByKey.computeIfAbsent(poolKey, p -> new Pool());
    UpstreamConnection idleConnection = pool.takeIdle(request, loop.now());
    if (idleConnection != null) {
      idleConnection.send(request, listener);
      return idleConnection::close;
    }
    return openAndSend(pool, address, request, listener);
  }

  private Call openAndSend(
      Pool pool, Ipv4SocketAddress address, UpstreamRequest request, UpstreamListener listener) {
    PendingConnection pendingConnection = new PendingConnection(request, listener);
    open(
        pool,
        address,
        connection -> pendingConnection.onOpened(connection, pool),
        pendingConnection::onFailed);
    return pendingConnection;
  }

  /** Opens a connection that belongs to a pool; one of the two receivers is called on the loop. */
  private void open(
      Pool pool,
      Ipv4SocketAddress address,
      Consumer<UpstreamConnection> onOpened,
      Consumer<Throwable> onFailed) {
    if (connectionCount >= maxConnections && !closeIdle()) {
      loop.execute(() -> onFailed.accept(new DescriptorsExhaustedException(maxConnections)));
      return;
    }
    connectionCount++;
    loop.connect(
        toInetSocketAddress(address),
        endPoint -> {
          UpstreamConnection connection =
              new UpstreamConnection(endPoint, executor, loop, pool, attemptIdHeader, answerMemory);
          loop.execute(
              () -> {
                pool.openCount++;
                onOpened.accept(connection);
              });
          return connection;
        },
        cause -> {
          connectionCount--;
          onFailed.accept(cause);
        });
  }

  /** Closes the oldest idle connection of the pool with the most; returns false if none is idle. */
  private boolean closeIdle() {
    Deque<UpstreamConnection> mostIdle =
        poolsByKey.values().stream()
            .map(pool -> pool.idleConnections)
            .max(Comparator.comparingInt(Deque::size))
            .orElseGet(ArrayDeque::new);
    UpstreamConnection oldest = mostIdle.peekFirst();
    if (oldest != null) {
      oldest.close();
    }
    return oldest != null;
  }

  /** A request that waits for its connection to be opened. */
  private static final class PendingConnection implements Call {
    private final UpstreamRequest request;
    private final UpstreamListener listener;
    private @Nullable UpstreamConnection connection;
    private boolean canceled;

    private PendingConnection(UpstreamRequest request, UpstreamListener listener) {
      this.request = request;
      this.listener = listener;
    }

    private void onOpened(UpstreamConnection openedConnection, Pool pool) {
      if (!canceled) {
        listener.onConnected();
      }
      connection = openedConnection;
      if (canceled) {
        // Nothing was sent on the connection, so the next request to this upstream can use it.
        pool.onIdle(openedConnection);
      } else {
        openedConnection.send(request, listener);
      }
    }

    private void onFailed(Throwable cause) {
      if (!canceled) {
        listener.onFailure(false, new IOException("the connection could not be opened", cause));
      }
    }

    @Override
    public void cancel() {
      canceled = true;
      UpstreamConnection currentConnection = connection;
      if (currentConnection != null) {
        currentConnection.close();
      }
    }
  }

  /** Returns the key of the connections to one start of an upstream. */
  static String poolKey(UpstreamInstance upstream) {
    return upstream.id() + "/" + upstream.startedMillis();
  }

  /**
   * Checks whether an upstream accepts connections. A connection that opens is kept for reuse.
   *
   * @param onResult called with false if the upstream's host refuses connections to the address,
   *     and with true otherwise, also if there is no answer
   */
  void checkAccepting(String poolKey, Ipv4SocketAddress address, Consumer<Boolean> onResult) {
    Pool pool = poolsByKey.computeIfAbsent(poolKey, p -> new Pool());
    open(
        pool,
        address,
        connection -> {
          pool.onIdle(connection);
          onResult.accept(true);
        },
        failure -> onResult.accept(!(failure instanceof ConnectException)));
  }

  /** Returns the same address as the type of the Java library, without resolving anything. */
  static InetSocketAddress toInetSocketAddress(Ipv4SocketAddress address) {
    try {
      return new InetSocketAddress(InetAddress.getByAddress(address.octets()), address.port());
    } catch (UnknownHostException e) {
      throw new IllegalStateException("an IPv4 address has four octets", e);
    }
  }

  /** Closes idle connections that have reached their time-out, before the upstream closes them. */
  void closeStale() {
    long now = loop.now();
    poolsByKey.values().forEach(pool -> pool.closeStale(now));
    poolsByKey.values().removeIf(pool -> pool.openCount <= 0 && pool.idleConnections.isEmpty());
  }
}
