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

/**
 * Guards against connected agents that are no longer used because the host list is wrong or
 * unavailable.
 */
class HostListTest {
  private static final String BODY = TestBed.body("encode", ",\"deadline_ms\":3000");
  private static final FakeAgent.Script ANSWERING =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          agent.answer(from, call.stream(), "{}");
        }
      };

  private static Map<String, Object> listEntry(
      String name, String address, String pool, String state) {
    List<String> ipAndPort = List.of(address.split(":"));
    return Map.of(
        "host",
        name,
        "address",
        ipAndPort.get(0),
        "port",
        Integer.parseInt(ipAndPort.get(1)),
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
  void connectedAgentIsUsedWhateverTheHostListContains() throws Exception {
    AtomicReference<HttpReply> hostListReply = new AtomicReference<>(HttpReply.text(500, "down"));
    try (JsonServer hostListServer =
            JsonServer.of(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    1 << 20,
                    EventLog.of("test", InstantSource.system()))
                .route(
                    "GET",
                    "/v1/hosts",
                    call -> CompletableFuture.completedFuture(hostListReply.get()))
                .start("hosts");
        FakeAgent agent = FakeAgent.start("enc-1", "encoders", ANSWERING);
        FakeAgent stopped = FakeAgent.start("gone", "encoders", ANSWERING);
        TestBed bed =
            TestBed.start(
                "hosts.url = \"http://127.0.0.1:"
                    + hostListServer.address().getPort()
                    + "\"\nhosts.poll_millis = 50")) {
      final String stoppedAddress = stopped.address();
      stopped.close();
      // A live agent listed in the wrong pool and zone, a stopped one, and two without a usable
      // address.
      hostListReply.set(
          HttpReply.json(
              200,
              Map.of(
                  "hosts",
                  List.of(
                      listEntry("h1", agent.address(), "engines", "live"),
                      listEntry("h2", stoppedAddress, "encoders", "live"),
                      listEntry("h3", "no-number:80", "encoders", "live"),
                      listEntry("h4", "127.0.0.1:0", "encoders", "strange")))));
      TestBed.await(() -> bed.connectedAgentCount() == 1);
      assertThat(bed.post(BODY).statusCode()).isEqualTo(200);

      hostListReply.set(HttpReply.json(200, Map.of("hosts", List.of())));
      TestBed.await(() -> !bed.get("/v1/status", true).body().contains(stoppedAddress));
      assertThat(bed.post(BODY).statusCode()).isEqualTo(200);

      hostListReply.set(HttpReply.text(200, "{not json"));
      assertThat(bed.post(BODY).statusCode()).isEqualTo(200);

      hostListReply.set(
          HttpReply.json(
              200,
              Map.of("hosts", List.of(listEntry("h1", agent.address(), "encoders", "leaving")))));
      TestBed.await(() -> bed.postUnchecked(BODY).statusCode() == 503);
    }
  }
}
