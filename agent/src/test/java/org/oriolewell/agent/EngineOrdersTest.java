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

/** Guards against orders that differ from the configuration or lack a claimed fencing token. */
class EngineOrdersTest {
  private static Map<String, Object> state(int version, String role) {
    return Map.of(
        "state_version", version, "role", role, "models", List.of(), "loading", List.of());
  }

  /** The order must carry the token that the store holds, and end when the state shows it. */
  @Test
  void wantedRoleIsOrderedOnceWithTheClaimedToken() throws Exception {
    UpstreamSpec spec = new UpstreamSpec(false, "generate", List.of());
    ConfigDocument document =
        new ConfigDocument(
            ConfigDocument.SCHEMA,
            1,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("host-1", spec),
            List.of());
    try (FakeUpstream upstream = FakeUpstream.start();
        FakeStore store = FakeStore.start()) {
      store.set("config/document", ConfigJson.write(document));
      upstream.state = state(4, "prefill");
      upstream.order =
          order -> {
            upstream.state = state(5, "generate");
            return FakeUpstream.reply(200, Map.of());
          };
      try (Agent agent =
          AgentFixture.start("engine", upstream.url(), "store.url = \"" + store.url() + "\"")) {
        long end = System.nanoTime() + Duration.ofSeconds(15).toNanos();
        while (upstream.orders.isEmpty() && System.nanoTime() < end) {
          Thread.onSpinWait();
        }
        JsonNode order = upstream.orders.get(0);
        assertThat(order.path("order").asText()).isEqualTo("role");
        assertThat(order.path("role").asText()).isEqualTo("generate");
        assertThat(order.path("expect").asLong()).isEqualTo(4);
        assertThat(order.path("fencing").asLong()).isEqualTo(1);
        assertThat(store.text("orders/host-1")).contains("\"fencing\":1");
        assertThat(agent.wireAddress().getPort()).isPositive();
      }
      assertThat(upstream.orders).hasSize(1);
    }
  }
}
