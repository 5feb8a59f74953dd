package org.oriolewell.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Sends requests to upstreams over kept connections. The connections of each start of an upstream
 * are kept apart, since an address may be used again by another one. Used on the event loop only.
 */
final class UpstreamClient {
  private final EventLoop loop;
  private final Executor executor;
  private final String attemptIdHeader;
  private final Map<String, Pool> pools = new HashMap<>();

  /** A request in progress. */
  interface Call {
    /** Gives the request up; its listener hears nothing more. */
    void cancel();
  }

  private final class Pool implements UpstreamConnection.Owner {
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    private int open;

    @Nullable UpstreamConnection take(long now) {
      Iterator<UpstreamConnection> newestFirst = idle.descendingIterator();
      while (newestFirst.hasNext()) {
        UpstreamConnection connection = newestFirst.next();
        if (connection.usable(now)) {
          newestFirst.remove();
          return connection;
        }
      }
      return null;
    }

    void closeStale(long now) {
      for (UpstreamConnection connection : List.copyOf(idle)) {
        if (!connection.usable(now)) {
          connection.close();
        }
      }
    }

    @Override
    public void onIdle(UpstreamConnection connection) {
      idle.addLast(connection);
    }

    @Override
    public void onClosed(UpstreamConnection connection) {
      open--;
      idle.remove(connection);
    }
  }

  private UpstreamClient(EventLoop loop, String attemptIdHeader) {
    this.loop = loop;
    this.attemptIdHeader = attemptIdHeader;
    this.executor = loop::execute;
  }

  /**
   * Returns a client without connections.
   *
   * @param attemptIdHeader header in which an answer names the request that it belongs to
   */
  static UpstreamClient create(EventLoop loop, String attemptIdHeader) {
    return new UpstreamClient(loop, attemptIdHeader);
  }

  /**
   * Sends a request.
   *
   * @param peer identifier of the upstream's start; its connections are shared
   * @param address IP address and port
   */
  Call send(String peer, String address, UpstreamRequest request, UpstreamListener listener) {
    Pool pool = pools.computeIfAbsent(peer, p -> new Pool());
    UpstreamConnection kept = pool.take(loop.now());
    if (kept != null) {
      kept.send(request, listener);
      return kept::close;
    }
    return open(pool, address, request, listener);
  }

  private Call open(Pool pool, String address, UpstreamRequest request, UpstreamListener listener) {
    Opening opening = new Opening(request, listener);
    loop.connect(
        parse(address),
        endPoint -> {
          UpstreamConnection connection =
              new UpstreamConnection(endPoint, executor, loop, pool, attemptIdHeader);
          loop.execute(
              () -> {
                pool.open++;
                opening.opened(connection, pool);
              });
          return connection;
        },
        opening::failed);
    return opening;
  }

  private static final class Opening implements Call {
    private final UpstreamRequest request;
    private final UpstreamListener listener;
    private @Nullable UpstreamConnection connection;
    private boolean canceled;

    private Opening(UpstreamRequest request, UpstreamListener listener) {
      this.request = request;
      this.listener = listener;
    }

    private void opened(UpstreamConnection opened, Pool pool) {
      connection = opened;
      if (canceled) {
        // The connection is good; the next request to this upstream can use it.
        pool.onIdle(opened);
      } else {
        opened.send(request, listener);
      }
    }

    private void failed(Throwable cause) {
      if (!canceled) {
        listener.onFailure(false, new IOException("the connection could not be opened", cause));
      }
    }

    @Override
    public void cancel() {
      canceled = true;
      UpstreamConnection running = connection;
      if (running != null) {
        running.close();
      }
    }
  }

  /** Parses an address of the form {@code IP:PORT}; it is never looked up by name. */
  static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Closes connections whose upstream would close them soon. */
  void closeStale() {
    long now = loop.now();
    pools.values().forEach(pool -> pool.closeStale(now));
    pools.values().removeIf(pool -> pool.open <= 0 && pool.idle.isEmpty());
  }
}
