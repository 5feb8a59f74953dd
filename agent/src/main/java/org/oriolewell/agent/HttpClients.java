package org.oriolewell.agent;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates the HTTP clients that the agent uses for its upstream and the key-value service. */
final class HttpClients {
  private static final int MAX_CONNECTIONS_PER_HOST = 4096;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  private HttpClients() {}

  static HttpClient start(Duration connectTimeout) {
    return createClient(connectTimeout, MAX_CONNECTIONS_PER_HOST);
  }

  /** Starts a client with one connection to each host, so that requests keep their order. */
  static HttpClient startSingleConnection(Duration connectTimeout) {
    return createClient(connectTimeout, 1);
  }

  private static HttpClient createClient(Duration connectTimeout, int maxConnections) {
    HttpClient client = new HttpClient();
    QueuedThreadPool threadPool = new QueuedThreadPool(32, 4);
    threadPool.setName("http-client");
    client.setExecutor(threadPool);
    client.setConnectTimeout(connectTimeout.toMillis());
    client.setIdleTimeout(IDLE_TIMEOUT.toMillis());
    client.setMaxConnectionsPerDestination(maxConnections);
    client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS_PER_HOST);
    // A redirect would send a call to a host that is not this agent's upstream.
    client.setFollowRedirects(false);
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP client cannot be started", e);
    }
    return client;
  }

  static void stop(HttpClient client) {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP client cannot be stopped", e);
    }
  }
}
