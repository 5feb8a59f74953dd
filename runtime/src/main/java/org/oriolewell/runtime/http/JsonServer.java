package org.oriolewell.runtime.http;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
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
import org.eclipse.jetty.server.ConnectionLimit;
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
 * An HTTP server for JSON APIs that listens on one port and routes requests to handlers.
 *
 * <p>Example: {@code JsonServer.bind(address, 1 << 20, log).route("GET", "/v1/things/{id}", call ->
 * completedFuture(HttpReply.json(200, ...))).start()}.
 */
public final class JsonServer implements AutoCloseable {
  private static final int MAX_THREADS = 64;

  /** Part of the heap for request bodies: a growing buffer and its copy take up to three times. */
  private static final int BODY_HEAP_DIVISOR = 8;

  /**
   * Heap for each connection, whose buffers and objects take less. It bounds the connections, so
   * that those that send nothing leave memory for the others.
   */
  private static final int HEAP_BYTES_PER_CONNECTION = 32 << 10;

  /** Time that closing the server allows for requests in progress to be answered. */
  private static final Duration GRACEFUL_STOP_TIMEOUT = Duration.ofSeconds(5);

  /** Time without traffic after which a server that is closing closes a connection. */
  private static final Duration IDLE_TIMEOUT_WHILE_STOPPING = Duration.ofMillis(250);

  private final Server server;
  private final ServerConnector connector;
  private final EventLog log;
  private final BodyRefusals refusals;
  private final int maxBodyBytes;
  private final List<Route> routes = new ArrayList<>();
  private final BodyBudget bodyBudget =
      BodyBudget.of(Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR);
  private Function<Throwable, HttpReply> failureMapping =
      failure ->
          HttpReply.json(
              failure instanceof BodyMemoryException ? 503 : 500,
              Map.of("error", String.valueOf(failure.getMessage())));

  private record Route(
      String method,
      String[] segments,
      Function<HttpCall, CompletableFuture<HttpReply>> handler,
      boolean streaming) {}

  private JsonServer(
      InetSocketAddress address,
      int maxBodyBytes,
      SslContextFactory.@Nullable Server tls,
      EventLog log) {
    this.log = log;
    refusals = new BodyRefusals(log);
    this.maxBodyBytes = maxBodyBytes;
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
    threads.setName("http");
    server = new Server(threads);
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    // Otherwise a bearer token counts as the one of an earlier request if only its case differs.
    configuration.setHeaderCacheCaseSensitive(true);
    HttpConnectionFactory httpFactory = new HttpConnectionFactory(configuration);
    connector =
        tls == null
            ? new ServerConnector(server, 1, 1, httpFactory)
            : new ServerConnector(
                server,
                1,
                1,
                new SslConnectionFactory(tls, httpFactory.getProtocol()),
                httpFactory);
    connector.setHost(address.getHostString());
    connector.setPort(address.getPort());
    connector.setAcceptQueueSize(1024);
    connector.setShutdownIdleTimeout(IDLE_TIMEOUT_WHILE_STOPPING.toMillis());
    server.addConnector(connector);
    server.addBean(new ConnectionLimit(maxConnections(), connector));
    server.setHandler(new GracefulHandler(new RoutingHandler()));
    server.setStopTimeout(GRACEFUL_STOP_TIMEOUT.toMillis());
  }

  /** Returns the most connections that neither the heap nor the descriptors can run out of. */
  private static int maxConnections() {
    long byHeap = Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_CONNECTION;
    long byDescriptors =
        ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
            ? system.getMaxFileDescriptorCount() / 2
            : Long.MAX_VALUE;
    return (int) Math.max(1, Math.min(Integer.MAX_VALUE, Math.min(byHeap, byDescriptors)));
  }

  /**
   * Returns a server without TLS that isn't started yet.
   *
   * @param address address to bind; with port 0 the operating system chooses a free port
   * @param maxBodyBytes size of the largest accepted request body, in bytes
   */
  public static JsonServer of(InetSocketAddress address, int maxBodyBytes, EventLog log) {
    return new JsonServer(address, maxBodyBytes, null, log);
  }

  /**
   * Returns a server with TLS that isn't started yet; the other parameters are those of {@link
   * #of}.
   */
  public static JsonServer withTls(
      InetSocketAddress address, int maxBodyBytes, SslContextFactory.Server tls, EventLog log) {
    return new JsonServer(address, maxBodyBytes, tls, log);
  }

  /**
   * Adds a route whose handler returns a complete reply.
   *
   * @param path path of the route; a segment in braces, such as {@code {id}}, is a path parameter
   */
  public JsonServer route(
      String method, String path, Function<HttpCall, CompletableFuture<HttpReply>> handler) {
    routes.add(new Route(method, path.split("/"), handler, false));
    return this;
  }

  /**
   * Adds a route whose handler may stream its answer through {@link HttpCall#startStream}; the
   * handler's future must then never complete. A handler that completes its future sends a complete
   * reply instead.
   */
  public JsonServer streamRoute(
      String method, String path, Function<HttpCall, CompletableFuture<HttpReply>> handler) {
    routes.add(new Route(method, path.split("/"), handler, true));
    return this;
  }

  /** Sets the function that maps the failure of a handler to the reply. */
  public JsonServer onFailure(Function<Throwable, HttpReply> replyToFailure) {
    this.failureMapping = replyToFailure;
    return this;
  }

  /**
   * Starts listening and logs the bound address.
   *
   * @param portName name of the port in the log event
   * @throws IllegalStateException if the address can't be bound
   */
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

  /** Returns the bound address with the actual port. */
  public InetSocketAddress address() {
    return new InetSocketAddress(connector.getHost(), connector.getLocalPort());
  }

  /** Sets the time after which an idle connection is closed. */
  public JsonServer idleTimeout(Duration timeout) {
    connector.setIdleTimeout(timeout.toMillis());
    return this;
  }

  /** Stops at once; requests in progress lose their connections, as in a crash of the process. */
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
      String[] pathSegments = Request.getPathInContext(request).split("/");
      boolean pathExists = false;
      for (Route route : routes) {
        Map<String, String> parameters = matchPath(route.segments(), pathSegments);
        if (parameters == null) {
          continue;
        }
        pathExists = true;
        if (route.method().equals(request.getMethod())) {
          dispatch(route, request, response, callback, parameters);
          return true;
        }
      }
      HttpCall call = new HttpCall(request, response, callback, new byte[0], Map.of(), () -> {});
      call.reply(
          HttpReply.json(
              pathExists ? 405 : 404,
              Map.of("error", pathExists ? "method not allowed" : "no such resource")));
      return true;
    }

    private void dispatch(
        Route route,
        Request request,
        Response response,
        Callback callback,
        Map<String, String> parameters) {
      BodyReader reader = new BodyReader(request, maxBodyBytes, bodyBudget);
      HttpCall callWithoutBody =
          new HttpCall(request, response, callback, new byte[0], parameters, reader::release);
      reader
          .start()
          .whenComplete(
              (body, failure) -> {
                if (failure != null) {
                  response.getHeaders().put(new HttpField("Connection", "close"));
                  fail(callWithoutBody, failure);
                  return;
                }
                HttpCall call =
                    new HttpCall(request, response, callback, body, parameters, reader::release);
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
          (completedReply, failure) -> {
            if (failure != null) {
              fail(call, failure);
            } else {
              call.reply(completedReply);
            }
          });
    }

    private void fail(HttpCall call, Throwable failure) {
      Throwable cause =
          failure instanceof CompletionException && failure.getCause() != null
              ? failure.getCause()
              : failure;
      HttpReply reply = failureMapping.apply(cause);
      if (cause instanceof BodyMemoryException) {
        refusals.report(cause);
      } else if (reply.status() >= 500) {
        log.event(RuntimeEvent.HANDLER_FAILED).cause(cause).write();
      }
      call.reply(reply);
    }
  }

  private static @Nullable Map<String, String> matchPath(
      String[] routeSegments, String[] pathSegments) {
    if (routeSegments.length != pathSegments.length) {
      return null;
    }
    Map<String, String> parameters = new HashMap<>();
    for (int i = 0; i < routeSegments.length; i++) {
      if (routeSegments[i].startsWith("{")) {
        parameters.put(
            routeSegments[i].substring(1, routeSegments[i].length() - 1), pathSegments[i]);
      } else if (!routeSegments[i].equals(pathSegments[i])) {
        return null;
      }
    }
    return parameters;
  }
}
