package org.oriolewell.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.PoolSpec;
import org.oriolewell.core.config.UpstreamSpec;
import org.oriolewell.core.order.Model;
import org.oriolewell.core.order.OrderAction;
import org.oriolewell.core.order.OrderClaim;
import org.oriolewell.core.order.OrderEvent;
import org.oriolewell.core.order.OrderMachine;
import org.oriolewell.core.order.WantedEngineState;
import org.oriolewell.runtime.platform.KeyValueStore;

/**
 * Runs the state machine that orders an engine to load and unload models and to change its role:
 * passes it events and performs its actions. Used on the agent's loop only.
 */
final class EngineOrders {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration STATE_POLL_INTERVAL = Duration.ofSeconds(1);

  // Time within which an order must take effect. Loading weights takes tens of seconds, as the
  // weight store is rate-limited.
  private static final Duration ORDER_EFFECT_TIMEOUT = Duration.ofMinutes(2);

  private final AgentContext context;
  private final EngineClient engineClient;
  private final KeyValueStore store;
  private final String claimKey;
  private final OrderMachine orderMachine;
  private String reportedRole = "";

  EngineOrders(AgentContext context, EngineClient engineClient, KeyValueStore store) {
    this.context = context;
    this.engineClient = engineClient;
    this.store = store;
    claimKey = "orders/" + context.identity().host();
    orderMachine =
        OrderMachine.of(context.identity().process(), STATE_POLL_INTERVAL, ORDER_EFFECT_TIMEOUT);
  }

  /** Returns the state of the orders and their fencing token, as text for operators. */
  String state() {
    return orderMachine.state() + ", fencing token " + orderMachine.fencingToken();
  }

  /** Returns the role that the engine last reported; empty if it has reported none. */
  String role() {
    return reportedRole;
  }

  /** Applies the role and models that a configuration asks of this engine. */
  void applyConfiguration(ConfigDocument document) {
    UpstreamSpec upstreamSpec = document.upstreams().get(context.identity().host());
    PoolSpec poolSpec = document.pools().get(context.identity().pool());
    String wantedRole = "";
    Set<Model> wantedModels = new HashSet<>();
    if (poolSpec != null) {
      wantedRole = poolSpec.role() == null ? "" : poolSpec.role();
      poolSpec.models().forEach(modelSpec -> wantedModels.add(toModel(modelSpec)));
    }
    if (upstreamSpec != null) {
      wantedRole = upstreamSpec.role() == null ? wantedRole : upstreamSpec.role();
      upstreamSpec.models().forEach(modelSpec -> wantedModels.add(toModel(modelSpec)));
    }
    handle(new OrderEvent.Configured(new WantedEngineState(wantedRole, wantedModels)));
  }

  private static Model toModel(UpstreamSpec.ModelSpec spec) {
    return new Model(spec.model(), spec.version(), spec.adapter() == null ? "" : spec.adapter());
  }

  /** Reads the engine's state if it is due; called about every 50 ms. */
  void tick() {
    handle(new OrderEvent.Tick());
  }

  private void handle(OrderEvent event) {
    if (event instanceof OrderEvent.StateRead read) {
      reportedRole = read.state().role();
    }
    orderMachine.on(event, context.clock().instant()).forEach(this::perform);
  }

  private void perform(OrderAction action) {
    if (action instanceof OrderAction.ReadState) {
      handleResult(engineClient.readState());
    } else if (action instanceof OrderAction.ReadClaim) {
      handleResult(readClaim());
    } else if (action instanceof OrderAction.WriteClaim write) {
      handleResult(writeClaim(write));
    } else if (action instanceof OrderAction.Send send) {
      log(
          AgentEvent.ORDER_DECIDED,
          send.order()
              + " with fencing token "
              + send.fencingToken()
              + " on state "
              + send.expectedVersion());
      handleResult(engineClient.sendOrder(send));
    } else if (action instanceof OrderAction.Confirmed confirmed) {
      log(AgentEvent.ORDER_CONFIRMED, confirmed.order().toString());
    } else if (action instanceof OrderAction.Failed failed) {
      log(AgentEvent.ORDER_FAILED, failed.order() + ": " + failed.reason());
    } else if (action instanceof OrderAction.ClaimLost) {
      log(AgentEvent.ORDER_CLAIM_LOST, "the engine has seen a higher fencing token");
    }
  }

  private CompletableFuture<OrderEvent> readClaim() {
    context.metrics().storeCalled("get");
    return store
        .get(claimKey)
        .thenApply(EngineOrders::toClaimRead)
        .exceptionally(failure -> new OrderEvent.StoreFailed());
  }

  private static OrderEvent toClaimRead(Optional<KeyValueStore.Entry> claimEntry) {
    if (claimEntry.isEmpty()) {
      return new OrderEvent.ClaimRead(null, 0);
    }
    try {
      return new OrderEvent.ClaimRead(
          JSON.readValue(claimEntry.get().value(), OrderClaim.class), claimEntry.get().revision());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private CompletableFuture<OrderEvent> writeClaim(OrderAction.WriteClaim write) {
    byte[] encodedClaim;
    try {
      encodedClaim = JSON.writeValueAsBytes(write.claim());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a claim cannot be written", e);
    }
    context.metrics().storeCalled("put");
    return store
        .compareAndSet(claimKey, write.expectedRevision(), encodedClaim)
        .<OrderEvent>thenApply(
            revision ->
                revision.isPresent()
                    ? new OrderEvent.ClaimWritten()
                    : new OrderEvent.ClaimConflict())
        .exceptionally(failure -> new OrderEvent.StoreFailed());
  }

  private void handleResult(CompletableFuture<OrderEvent> futureEvent) {
    futureEvent.whenComplete((event, failure) -> context.loop().execute(() -> handle(event)));
  }

  private void log(AgentEvent event, String reason) {
    context.log().event(event).with("key", claimKey).with("reason", reason).write();
  }
}
