package org.oriolewell.runtime.admin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.oriolewell.runtime.wire.Message;

/**
 * A {@link FleetPort} over wire connections. The program passes it each QUERY_RESULT that arrives.
 * The number of processes asked by one question is bounded; the others count as silent.
 */
public final class QueryExchange implements FleetPort {
  /** Most processes asked by one question. */
  static final int MAX_ASKED = 2_000;

  private final String self;
  private final QueryResponder responder;
  private final Supplier<Collection<? extends QueryPeer>> peers;
  private final Map<Long, CompletableFuture<byte[]>> pending = new ConcurrentHashMap<>();
  private final AtomicLong lastId = new AtomicLong();

  private QueryExchange(
      String self, QueryResponder responder, Supplier<Collection<? extends QueryPeer>> peers) {
    this.self = self;
    this.responder = responder;
    this.peers = peers;
  }

  /**
   * Returns an exchange.
   *
   * @param self name of this process
   * @param responder answers for this process
   * @param peers connected processes, one connection for each
   */
  public static QueryExchange of(
      String self, QueryResponder responder, Supplier<Collection<? extends QueryPeer>> peers) {
    return new QueryExchange(self, responder, peers);
  }

  /** Takes an answer; one that came too late has no effect. */
  public void received(Message.QueryResult result) {
    CompletableFuture<byte[]> waiting = pending.remove(result.id());
    if (waiting != null) {
      waiting.complete(result.answer());
    }
  }

  @Override
  public CompletableFuture<List<Answer>> ask(byte[] question, Duration limit) {
    Map<String, CompletableFuture<byte[]>> asked = new HashMap<>();
    List<Answer> silent = new ArrayList<>();
    asked.put(self, CompletableFuture.completedFuture(responder.answer(question)));
    for (QueryPeer peer : peers.get()) {
      if (asked.size() > MAX_ASKED) {
        silent.add(new Answer(peer.process(), Optional.empty()));
      } else {
        asked.computeIfAbsent(peer.process(), process -> send(peer, question, limit));
      }
    }
    return CompletableFuture.allOf(asked.values().toArray(CompletableFuture[]::new))
        .handle((nothing, failure) -> answers(asked, silent));
  }

  private CompletableFuture<byte[]> send(QueryPeer peer, byte[] question, Duration limit) {
    long id = lastId.incrementAndGet();
    CompletableFuture<byte[]> answer = new CompletableFuture<>();
    pending.put(id, answer);
    if (!peer.send(new Message.Query(id, question))) {
      answer.cancel(false);
    }
    answer.orTimeout(limit.toMillis(), TimeUnit.MILLISECONDS);
    answer.whenComplete((value, failure) -> pending.remove(id));
    return answer;
  }

  private static List<Answer> answers(
      Map<String, CompletableFuture<byte[]>> asked, List<Answer> silent) {
    List<Answer> answers = new ArrayList<>(silent);
    asked.forEach(
        (process, answer) ->
            answers.add(
                new Answer(
                    process,
                    answer.isCompletedExceptionally()
                        ? Optional.empty()
                        : Optional.of(answer.join()))));
    return answers;
  }
}
