package org.oriolewell.agent;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigJson;
import org.oriolewell.core.config.UpstreamSpec;

/** Tests that engine orders follow the configuration and carry a claimed fencing token. */
class EngineOrdersTest {
  private static Map<String, Object> engineState(int stateVersion, String role) {
    return Map.of(
        "state_version", stateVersion, "role", role, "models", List.of(), "loading", List.of());
  }

  /** Guards against an order without the stored fencing token, and against its repetition. */
  @Test
  void wantedRoleIsOrderedOnceWithTheClaimedToken() throws Exception {
    UpstreamSpec upstreamSpec = new UpstreamSpec(false, "generate", List.of());
    ConfigDocument document =
        new ConfigDocument(
            ConfigDocument.SCHEMA,
            1,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("host-1", upstreamSpec),
            List.of());
    try (FakeUpstream upstream = FakeUpstream.start();
        FakeStore store = FakeStore.start()) {
      store.set("config/document", ConfigJson.write(document));
      upstream.engineState = engineState(4, "prefill");
      upstream.answerOrder =
          order -> {
            upstream.engineState = engineState(5, "generate");
            return FakeUpstream.reply(200, Map.of());
          };
      try (Agent agent =
          AgentFixture.start("engine", upstream.url(), "store.url = \"" + store.url() + "\"")) {
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(15).toNanos();
        while (upstream.receivedOrders.isEmpty() && System.nanoTime() < deadlineNanos) {
          Thread.onSpinWait();
        }
        JsonNode order = upstream.receivedOrders.get(0);
        assertThat(order.path("order").asText()).isEqualTo("role");
        assertThat(order.path("role").asText()).isEqualTo("generate");
        assertThat(order.path("expect").asLong()).isEqualTo(4);
        assertThat(order.path("fencing").asLong()).isEqualTo(1);
        assertThat(store.text("orders/host-1")).contains("\"fencing\":1");
        assertThat(agent.wireAddress().getPort()).isPositive();
      }
      assertThat(upstream.receivedOrders).hasSize(1);
    }
  }
}
