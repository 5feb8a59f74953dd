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

/** Guards against questions that wait for a silent process, and answers given to the wrong one. */
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

  // Guards against a silent or closed peer that delays or fails the whole answer.
  @Test
  void silentPeersAreReportedWithinTheLimit() throws Exception {
    List<Message.Query> received = new ArrayList<>();
    Peer answering = new Peer("a", true, received);
    Peer silent = new Peer("b", true, new ArrayList<>());
    Peer closed = new Peer("c", false, new ArrayList<>());
    QueryExchange exchange =
        QueryExchange.of("self", RESPONDER, () -> List.of(answering, silent, closed));

    byte[] question = QueryResponder.question("show upstreams");
    CompletableFuture<List<FleetPort.Answer>> future =
        exchange.ask(question, Duration.ofMillis(50));
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

  // Guards against a wrong question that breaks the connection it came on.
  @Test
  void wrongQuestionIsAnsweredByAnError() {
    for (String question : new String[] {"", "{", "{\"query\":\"history\"}", "{\"query\":7}"}) {
      byte[] bytes = question.getBytes(StandardCharsets.UTF_8);
      assertThat(new String(RESPONDER.answer(bytes), StandardCharsets.UTF_8)).contains("error");
    }
  }
}
