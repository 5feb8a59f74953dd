package org.oriolewell.runtime.admin;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.wire.Message;

/** Guards against queries that wait for a process without an answer, and mixed-up answers. */
class QueryExchangeTest {
  private static final QueryResponder RESPONDER =
      QueryResponder.of(subject -> List.of(Map.of("host", "h")));

  private record Peer(String process, boolean open, List<Message.Query> received)
      implements QueryPeer {
    @Override
    public boolean send(Message message) {
      received.add((Message.Query) message);
      return open;
    }
  }

  // Guards against a peer that is closed or doesn't answer and so delays or fails the whole answer.
  @Test
  void silentPeersAreReportedWithinTheTimeout() throws Exception {
    List<Message.Query> received = new ArrayList<>();
    Peer answeringPeer = new Peer("a", true, received);
    Peer silentPeer = new Peer("b", true, new ArrayList<>());
    Peer closedPeer = new Peer("c", false, new ArrayList<>());
    QueryExchange exchange =
        QueryExchange.of("self", RESPONDER, () -> List.of(answeringPeer, silentPeer, closedPeer));

    byte[] encodedQuery = QueryResponder.encodeQuery("show upstreams");
    CompletableFuture<List<FleetPort.Answer>> future =
        exchange.ask(encodedQuery, Duration.ofMillis(50));
    Message.Query query = received.get(0);
    exchange.received(new Message.QueryResult(query.id(), RESPONDER.answer(query.question())));

    List<FleetPort.Answer> answers = future.get(5, TimeUnit.SECONDS);
    assertThat(answers)
        .filteredOn(answer -> answer.answer().isPresent())
        .extracting(FleetPort.Answer::process)
        .containsExactlyInAnyOrder("self", "a");
    assertThat(answers).hasSize(4);
    exchange.received(new Message.QueryResult(query.id(), new byte[0]));
  }

  // Guards against an invalid query that makes the responder throw.
  @Test
  void invalidQueryIsAnsweredByAnError() {
    for (String invalidQuery : new String[] {"", "{", "{\"query\":\"history\"}", "{\"query\":7}"}) {
      byte[] bytes = invalidQuery.getBytes(StandardCharsets.UTF_8);
      assertThat(new String(RESPONDER.answer(bytes), StandardCharsets.UTF_8)).contains("error");
    }
  }
}
