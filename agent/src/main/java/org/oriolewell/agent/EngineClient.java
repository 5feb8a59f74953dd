package org.oriolewell.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.oriolewell.core.order.EngineState;
import org.oriolewell.core.order.Model;
import org.oriolewell.core.order.Order;
import org.oriolewell.core.order.OrderAction;
import org.oriolewell.core.order.OrderEvent;

/**
 * HTTP client that reads an engine's state and sends it orders to load models or change its role.
 */
final class EngineClient {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client;
  private final URI baseUrl;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param client HTTP client with a single connection, which keeps orders in sequence even for
   *     engines that ignore fencing tokens
   * @param baseUrl base URL of the engine
   * @param timeout time after which a request counts as unanswered
   */
  EngineClient(HttpClient client, URI baseUrl, Duration timeout) {
    this.client = client;
    this.baseUrl = baseUrl;
    this.timeout = timeout;
  }

  /** Reads the engine's role, models and fencing token; the future never fails. */
  CompletableFuture<OrderEvent> readState() {
    return send(client.newRequest(baseUrl).path("/v1/state"))
        .<OrderEvent>thenApply(answer -> new OrderEvent.StateRead(parseState(answer)))
        .exceptionally(failure -> new OrderEvent.StateFailed());
  }

  /** Sends an order with its fencing token and the expected state version; never fails. */
  CompletableFuture<OrderEvent> sendOrder(OrderAction.Send sendAction) {
    ObjectNode body =
        JSON.createObjectNode()
            .put("fencing", sendAction.fencingToken())
            .put("expect", sendAction.expectedVersion());
    putOrder(sendAction.order(), body);
    byte[] bodyBytes;
    try {
      bodyBytes = JSON.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an order cannot be written", e);
    }
    return send(client
            .newRequest(baseUrl)
            .method("POST")
            .path("/v1/orders")
            .body(new BytesRequestContent("application/json", bodyBytes)))
        .<OrderEvent>thenApply(
            answer ->
                answer.status() >= 400 && answer.status() < 500
                    ? new OrderEvent.OrderRefused()
                    : new OrderEvent.OrderTaken())
        .exceptionally(failure -> new OrderEvent.OrderUnanswered());
  }

  private static void putOrder(Order order, ObjectNode body) {
    if (order instanceof Order.Load load) {
      putModel(body.put("order", "load"), load.model());
    } else if (order instanceof Order.Unload unload) {
      putModel(body.put("order", "unload"), unload.model());
    } else if (order instanceof Order.Role role) {
      body.put("order", "role").put("role", role.role());
    }
  }

  private static void putModel(ObjectNode body, Model model) {
    body.put("model", model.model()).put("version", model.version());
    if (!model.adapter().isEmpty()) {
      body.put("adapter", model.adapter());
    }
  }

  private static EngineState parseState(Answer answer) {
    JsonNode root;
    try {
      root = JSON.readTree(answer.body());
    } catch (IOException e) {
      throw new IllegalArgumentException("the engine's state is not JSON", e);
    }
    if (answer.status() != 200 || !root.path("role").isTextual()) {
      throw new IllegalArgumentException("the engine reports no state");
    }
    return new EngineState(
        root.path("state_version").asLong(),
        root.path("role").textValue(),
        parseModels(root.path("models")),
        parseModels(root.path("loading")),
        root.path("fencing").asLong());
  }

  private static Set<Model> parseModels(JsonNode modelNodes) {
    Set<Model> models = new HashSet<>();
    modelNodes.forEach(
        node ->
            models.add(
                new Model(
                    node.path("model").asText(),
                    node.path("version").asText(),
                    node.path("adapter").asText())));
    return models;
  }

  private record Answer(int status, byte[] body) {}

  private CompletableFuture<Answer> send(Request request) {
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    request
        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .send(
            new BufferingResponseListener() {
              @Override
              public void onComplete(Result result) {
                if (result.isFailed()) {
                  answer.completeExceptionally(result.getFailure());
                } else {
                  byte[] content = getContent();
                  answer.complete(
                      new Answer(
                          result.getResponse().getStatus(),
                          content == null ? new byte[0] : content));
                }
              }
            });
    return answer;
  }
}
