package org.oriolewell.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.wire.Message;

/** Guards against a host list that is wrong or away and takes working agents out of use. */
class HostListTest {
  private static final String BODY = TestBed.body("encode", ",\"deadline_ms\":3000");
  private static final FakeAgent.Script GOOD =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          agent.answer(from, call.stream(), "{}");
        }
      };

  private static Map<String, Object> host(String name, String address, String pool, String state) {
    List<String> parts = List.of(address.split(":"));
    return Map.of(
        "host",
        name,
        "address",
        parts.get(0),
        "port",
        Integer.parseInt(parts.get(1)),
        "kind",
        "agent",
        "pool",
        pool,
        "zone",
        "z9",
        "region",
        "r9",
        "firm",
        "f",
        "state",
        state);
  }

  @Test
  void connectionsDecideWhateverTheListSays() throws Exception {
    AtomicReference<HttpReply> reply = new AtomicReference<>(HttpReply.text(500, "down"));
    try (JsonServer list =
            JsonServer.of(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    1 << 20,
                    EventLog.of("test", InstantSource.system()))
                .route("GET", "/v1/hosts", call -> CompletableFuture.completedFuture(reply.get()))
                .start("hosts");
        FakeAgent agent = FakeAgent.start("enc-1", "encoders", GOOD);
        FakeAgent gone = FakeAgent.start("gone", "encoders", GOOD);
        TestBed bed =
            TestBed.start(
                "hosts.url = \"http://127.0.0.1:"
                    + list.address().getPort()
                    + "\"\nhosts.poll_millis = 50")) {
      final String goneAddress = gone.address();
      gone.close();
      // An agent in a wrong pool and zone, a dead one, and entries that can't be used.
      reply.set(
          HttpReply.json(
              200,
              Map.of(
                  "hosts",
                  List.of(
                      host("h1", agent.address(), "engines", "live"),
                      host("h2", goneAddress, "encoders", "live"),
                      host("h3", "no-number:80", "encoders", "live"),
                      host("h4", "127.0.0.1:0", "encoders", "strange")))));
      TestBed.await(() -> bed.connected() == 1);
      assertThat(bed.post(BODY).statusCode()).isEqualTo(200);

      reply.set(HttpReply.json(200, Map.of("hosts", List.of())));
      TestBed.await(() -> !bed.get("/v1/status", true).body().contains(goneAddress));
      assertThat(bed.post(BODY).statusCode()).isEqualTo(200);

      reply.set(HttpReply.text(200, "{not json"));
      assertThat(bed.post(BODY).statusCode()).isEqualTo(200);

      reply.set(
          HttpReply.json(
              200, Map.of("hosts", List.of(host("h1", agent.address(), "encoders", "leaving")))));
      TestBed.await(() -> bed.postNow(BODY).statusCode() == 503);
    }
  }
}
