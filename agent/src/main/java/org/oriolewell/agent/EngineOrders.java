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

/** Carries out what the state machine of an engine's orders asks for. Used on the loop only. */
final class EngineOrders {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  // Loading weights takes tens of seconds, as the weight store is rate-limited.
  private static final Duration ORDER_LIMIT = Duration.ofMinutes(2);

  private final AgentContext context;
  private final EngineClient engine;
  private final KeyValueStore store;
  private final String key;
  private final OrderMachine machine;
  private String role = "";

  EngineOrders(AgentContext context, EngineClient engine, KeyValueStore store) {
    this.context = context;
    this.engine = engine;
    this.store = store;
    key = "orders/" + context.identity().host();
    machine = OrderMachine.of(context.identity().process(), INTERVAL, ORDER_LIMIT);
  }

  /** Returns the state for operators. */
  String state() {
    return machine.state() + ", fencing token " + machine.fencingToken();
  }

  /** Returns the role that the engine last reported; empty if none is known. */
  String role() {
    return role;
  }

  /** Adopts what a configuration wants of this engine. */
  void configured(ConfigDocument document) {
    UpstreamSpec host = document.upstreams().get(context.identity().host());
    PoolSpec pool = document.pools().get(context.identity().pool());
    String wantedRole = "";
    Set<Model> models = new HashSet<>();
    if (pool != null) {
      wantedRole = pool.role() == null ? "" : pool.role();
      pool.models().forEach(model -> models.add(model(model)));
    }
    if (host != null) {
      wantedRole = host.role() == null ? wantedRole : host.role();
      host.models().forEach(model -> models.add(model(model)));
    }
    on(new OrderEvent.Configured(new WantedEngineState(wantedRole, models)));
  }

  private static Model model(UpstreamSpec.ModelSpec spec) {
    return new Model(spec.model(), spec.version(), spec.adapter() == null ? "" : spec.adapter());
  }

  void tick() {
    on(new OrderEvent.Tick());
  }

  private void on(OrderEvent event) {
    if (event instanceof OrderEvent.StateRead read) {
      role = read.state().role();
    }
    machine.on(event, context.clock().instant()).forEach(this::perform);
  }

  private void perform(OrderAction action) {
    if (action instanceof OrderAction.ReadState) {
      later(engine.state());
    } else if (action instanceof OrderAction.ReadClaim) {
      later(readClaim());
    } else if (action instanceof OrderAction.WriteClaim write) {
      later(writeClaim(write));
    } else if (action instanceof OrderAction.Send send) {
      log(
          AgentEvent.ORDER_DECIDED,
          send.order()
              + " with fencing token "
              + send.fencingToken()
              + " on state "
              + send.expectedVersion());
      later(engine.order(send));
    } else if (action instanceof OrderAction.Confirmed confirmed) {
      log(AgentEvent.ORDER_CONFIRMED, confirmed.order().toString());
    } else if (action instanceof OrderAction.Failed failed) {
      log(AgentEvent.ORDER_FAILED, failed.order() + ": " + failed.reason());
    } else if (action instanceof OrderAction.ClaimLost) {
      log(AgentEvent.ORDER_CLAIM_LOST, "the engine has seen a higher fencing token");
    }
  }

  private CompletableFuture<OrderEvent> readClaim() {
    context.metrics().storeCall("get");
    return store
        .get(key)
        .thenApply(EngineOrders::claimRead)
        .exceptionally(failure -> new OrderEvent.StoreFailed());
  }

  private static OrderEvent claimRead(Optional<KeyValueStore.Entry> entry) {
    if (entry.isEmpty()) {
      return new OrderEvent.ClaimRead(null, 0);
    }
    try {
      return new OrderEvent.ClaimRead(
          JSON.readValue(entry.get().value(), OrderClaim.class), entry.get().revision());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private CompletableFuture<OrderEvent> writeClaim(OrderAction.WriteClaim write) {
    byte[] value;
    try {
      value = JSON.writeValueAsBytes(write.claim());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a claim cannot be written", e);
    }
    context.metrics().storeCall("put");
    return store
        .compareAndSet(key, write.expectedRevision(), value)
        .<OrderEvent>thenApply(
            revision ->
                revision.isPresent()
                    ? new OrderEvent.ClaimWritten()
                    : new OrderEvent.ClaimConflict())
        .exceptionally(failure -> new OrderEvent.StoreFailed());
  }

  private void later(CompletableFuture<OrderEvent> event) {
    event.whenComplete((value, failure) -> context.loop().execute(() -> on(value)));
  }

  private void log(AgentEvent event, String reason) {
    context.log().event(event).with("key", key).with("reason", reason).write();
  }
}
