package org.oriolewell.agent;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Makes the HTTP client that the agent uses for its upstream and the platform. */
final class HttpClients {
  private static final int MAX_CONNECTIONS = 4096;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  private HttpClients() {}

  static HttpClient start(Duration connectTimeout) {
    return client(connectTimeout, MAX_CONNECTIONS);
  }

  /** Returns a client that has one connection to each host, so that requests keep their order. */
  static HttpClient startSingle(Duration connectTimeout) {
    return client(connectTimeout, 1);
  }

  private static HttpClient client(Duration connectTimeout, int connections) {
    HttpClient client = new HttpClient();
    QueuedThreadPool threads = new QueuedThreadPool(32, 4);
    threads.setName("http-client");
    client.setExecutor(threads);
    client.setConnectTimeout(connectTimeout.toMillis());
    client.setIdleTimeout(IDLE_TIMEOUT.toMillis());
    client.setMaxConnectionsPerDestination(connections);
    client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
    // A redirect would send a call to a host that this agent doesn't answer for.
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
