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
 * Sends queries to the connected processes over wire connections. The program passes it each
 * QUERY_RESULT that arrives. The number of processes that one query asks is bounded; the others are
 * reported as processes without an answer.
 */
public final class QueryExchange implements FleetPort {
  /** Most processes that one query is sent to. */
  static final int MAX_ASKED_PROCESSES = 2_000;

  private final String processName;
  private final QueryResponder responder;
  private final Supplier<Collection<? extends QueryPeer>> peers;
  private final Map<Long, CompletableFuture<byte[]>> pendingAnswers = new ConcurrentHashMap<>();
  private final AtomicLong lastQueryId = new AtomicLong();

  private QueryExchange(
      String processName,
      QueryResponder responder,
      Supplier<Collection<? extends QueryPeer>> peers) {
    this.processName = processName;
    this.responder = responder;
    this.peers = peers;
  }

  /**
   * Returns an exchange that sends queries to the given peers.
   *
   * @param processName name of this process
   * @param responder answers the part of a query that is about this process
   * @param peers connected processes, with one connection to each
   */
  public static QueryExchange of(
      String processName,
      QueryResponder responder,
      Supplier<Collection<? extends QueryPeer>> peers) {
    return new QueryExchange(processName, responder, peers);
  }

  /** Handles the answer of a peer; ignores an answer that arrives after the timeout. */
  public void received(Message.QueryResult result) {
    CompletableFuture<byte[]> pendingAnswer = pendingAnswers.remove(result.id());
    if (pendingAnswer != null) {
      pendingAnswer.complete(result.answer());
    }
  }

  @Override
  public CompletableFuture<List<Answer>> ask(byte[] query, Duration timeout) {
    Map<String, CompletableFuture<byte[]>> answersByProcess = new HashMap<>();
    List<Answer> withoutAnswer = new ArrayList<>();
    answersByProcess.put(processName, CompletableFuture.completedFuture(responder.answer(query)));
    for (QueryPeer peer : peers.get()) {
      if (answersByProcess.size() > MAX_ASKED_PROCESSES) {
        withoutAnswer.add(new Answer(peer.process(), Optional.empty()));
      } else {
        answersByProcess.computeIfAbsent(peer.process(), process -> send(peer, query, timeout));
      }
    }
    return CompletableFuture.allOf(answersByProcess.values().toArray(CompletableFuture[]::new))
        .handle((ignored, failure) -> collectAnswers(answersByProcess, withoutAnswer));
  }

  private CompletableFuture<byte[]> send(QueryPeer peer, byte[] query, Duration timeout) {
    long id = lastQueryId.incrementAndGet();
    CompletableFuture<byte[]> answer = new CompletableFuture<>();
    pendingAnswers.put(id, answer);
    if (!peer.send(new Message.Query(id, query))) {
      answer.cancel(false);
    }
    answer.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    answer.whenComplete((value, failure) -> pendingAnswers.remove(id));
    return answer;
  }

  private static List<Answer> collectAnswers(
      Map<String, CompletableFuture<byte[]>> answersByProcess, List<Answer> withoutAnswer) {
    List<Answer> answers = new ArrayList<>(withoutAnswer);
    answersByProcess.forEach(
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
