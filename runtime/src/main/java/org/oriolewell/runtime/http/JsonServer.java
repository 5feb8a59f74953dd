package org.oriolewell.runtime.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;

/**
 * An HTTP server with routes, on one port.
 *
 * <p>Example: {@code JsonServer.bind(address, 1 << 20, log).route("GET", "/v1/things/{id}", call ->
 * completedFuture(HttpReply.json(200, ...))).start()}.
 */
public final class JsonServer implements AutoCloseable {
  private static final int MAX_THREADS = 64;

  /** Time in which answers that are being written reach their callers when the server closes. */
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

  /** Time after which a closing server drops a connection on which nothing moves. */
  private static final Duration STOP_IDLE_TIMEOUT = Duration.ofMillis(250);

  private final Server server;
  private final ServerConnector connector;
  private final EventLog log;
  private final int bodyLimit;
  private final List<Route> routes = new ArrayList<>();
  private Function<Throwable, HttpReply> failures =
      failure -> HttpReply.json(500, Map.of("error", String.valueOf(failure.getMessage())));

  private record Route(
      String method,
      String[] segments,
      Function<HttpCall, CompletableFuture<HttpReply>> handler,
      boolean streaming) {}

  private JsonServer(
      InetSocketAddress address,
      int bodyLimit,
      SslContextFactory.@Nullable Server tls,
      EventLog log) {
    this.log = log;
    this.bodyLimit = bodyLimit;
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
    threads.setName("http");
    server = new Server(threads);
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    HttpConnectionFactory http = new HttpConnectionFactory(configuration);
    connector =
        tls == null
            ? new ServerConnector(server, 1, 1, http)
            : new ServerConnector(
                server, 1, 1, new SslConnectionFactory(tls, http.getProtocol()), http);
    connector.setHost(address.getHostString());
    connector.setPort(address.getPort());
    connector.setAcceptQueueSize(1024);
    connector.setShutdownIdleTimeout(STOP_IDLE_TIMEOUT.toMillis());
    server.addConnector(connector);
    server.setHandler(new GracefulHandler(new RoutingHandler()));
    server.setStopTimeout(STOP_TIMEOUT.toMillis());
  }

  /** Returns a server without TLS. Port 0 lets the system choose a port. */
  public static JsonServer of(InetSocketAddress address, int bodyLimitBytes, EventLog log) {
    return new JsonServer(address, bodyLimitBytes, null, log);
  }

  /** Returns a server with TLS. */
  public static JsonServer withTls(
      InetSocketAddress address, int bodyLimitBytes, SslContextFactory.Server tls, EventLog log) {
    return new JsonServer(address, bodyLimitBytes, tls, log);
  }

  /** Adds a route; a path segment in braces is a parameter. */
  public JsonServer route(
      String method, String path, Function<HttpCall, CompletableFuture<HttpReply>> handler) {
    routes.add(new Route(method, path.split("/"), handler, false));
    return this;
  }

  /**
   * Adds a route whose handler answers through {@link HttpCall#startStream}. It may still reply
   * whole by completing its future with a reply; a future that never completes leaves the answer to
   * the stream.
   */
  public JsonServer streamRoute(
      String method, String path, Function<HttpCall, CompletableFuture<HttpReply>> handler) {
    routes.add(new Route(method, path.split("/"), handler, true));
    return this;
  }

  /** Sets how a failed handler is answered. */
  public JsonServer onFailure(Function<Throwable, HttpReply> mapping) {
    this.failures = mapping;
    return this;
  }

  /** Starts listening and writes the bound address as a log event. */
  public JsonServer start(String portName) {
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

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return new InetSocketAddress(connector.getHost(), connector.getLocalPort());
  }

  /** Sets how long an idle connection stays open. */
  public JsonServer idleTimeout(Duration timeout) {
    connector.setIdleTimeout(timeout.toMillis());
    return this;
  }

  /** Stops at once; calls in flight lose their connections, as if the process had died. */
  public void abort() {
    server.setStopTimeout(0);
    close();
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      log.event(RuntimeEvent.HANDLER_FAILED).cause(e).write();
    }
  }

  private final class RoutingHandler extends Handler.Abstract {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      String[] path = Request.getPathInContext(request).split("/");
      boolean pathKnown = false;
      for (Route route : routes) {
        Map<String, String> parameters = match(route.segments(), path);
        if (parameters == null) {
          continue;
        }
        pathKnown = true;
        if (route.method().equals(request.getMethod())) {
          dispatch(route, request, response, callback, parameters);
          return true;
        }
      }
      HttpCall call = new HttpCall(request, response, callback, new byte[0], Map.of());
      call.reply(
          HttpReply.json(
              pathKnown ? 405 : 404,
              Map.of("error", pathKnown ? "method not allowed" : "no such resource")));
      return true;
    }

    private void dispatch(
        Route route,
        Request request,
        Response response,
        Callback callback,
        Map<String, String> parameters) {
      HttpCall empty = new HttpCall(request, response, callback, new byte[0], parameters);
      HttpCall.readBody(request, bodyLimit)
          .whenComplete(
              (body, failure) -> {
                if (failure != null) {
                  response.getHeaders().put(new HttpField("Connection", "close"));
                  fail(empty, failure);
                  return;
                }
                HttpCall call = new HttpCall(request, response, callback, body, parameters);
                run(route, call);
              });
    }

    private void run(Route route, HttpCall call) {
      CompletableFuture<HttpReply> reply;
      try {
        reply = route.handler().apply(call);
      } catch (RuntimeException e) {
        fail(call, e);
        return;
      }
      reply.whenComplete(
          (value, failure) -> {
            if (failure != null) {
              fail(call, failure);
            } else {
              call.reply(value);
            }
          });
    }

    private void fail(HttpCall call, Throwable failure) {
      Throwable cause =
          failure instanceof CompletionException && failure.getCause() != null
              ? failure.getCause()
              : failure;
      HttpReply reply = failures.apply(cause);
      if (reply.status() >= 500) {
        log.event(RuntimeEvent.HANDLER_FAILED).cause(cause).write();
      }
      call.reply(reply);
    }
  }

  private static @Nullable Map<String, String> match(String[] pattern, String[] path) {
    if (pattern.length != path.length) {
      return null;
    }
    Map<String, String> parameters = new HashMap<>();
    for (int i = 0; i < pattern.length; i++) {
      if (pattern[i].startsWith("{")) {
        parameters.put(pattern[i].substring(1, pattern[i].length() - 1), path[i]);
      } else if (!pattern[i].equals(path[i])) {
        return null;
      }
    }
    return parameters;
  }
}
