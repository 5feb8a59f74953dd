package org.oriolewell.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.PipelineSpec;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.result.Failure;
import org.oriolewell.core.result.Outcome;
import org.oriolewell.core.result.ProblemKind;
import org.oriolewell.runtime.wire.Message;

/**
 * Settles idempotency keys: asks the owners of a key's shards for the final outcome of its calls.
 * Before an owner replies that a call did not run, it records the key as settled, so that the call
 * never runs later.
 */
final class Settler {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Delay before an owner is asked again. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final AgentDirectory directory;
  private final OwnerChooser ownerChooser;
  private final ScheduledExecutorService timers;
  private final Duration timeout;

  /**
   * Creates a settler.
   *
   * @param timeout time after which settling fails if an owner has not answered
   */
  Settler(AgentDirectory directory, ScheduledExecutorService timers, Duration timeout) {
    this.directory = directory;
    this.ownerChooser = new OwnerChooser(directory);
    this.timers = timers;
    this.timeout = timeout;
  }

  /**
   * Settles a key for all non-idempotent stages of a pipeline; fails with {@link ProblemException}
   * if an owner doesn't answer in time.
   */
  CompletableFuture<Settlement> settle(
      ConfigDocument config, String workspace, String pipeline, String key) {
    PipelineSpec spec = config.pipelines().get(pipeline);
    if (spec == null) {
      throw ProblemException.of(
          ProblemKind.UNKNOWN_PIPELINE,
          "there is no pipeline '" + pipeline + "'; name a configured one");
    }
    List<CompletableFuture<Map<String, Object>>> stageOutcomes = new ArrayList<>();
    for (int stage = 0; stage < spec.stages().size(); stage++) {
      if (!spec.stages().get(stage).idempotent()) {
        SettleQuery query =
            new SettleQuery(
                spec.stages().get(stage),
                stage,
                workspace,
                pipeline,
                key,
                CallerRequest.shard(config, workspace, pipeline, stage, key));
        stageOutcomes.add(ask(query).thenApply(settled -> json(query, settled)));
      }
    }
    if (stageOutcomes.isEmpty()) {
      throw ProblemException.of(
          ProblemKind.INVALID_REQUEST,
          "the pipeline '" + pipeline + "' has no non-idempotent stage; send the request again");
    }
    return CompletableFuture.allOf(stageOutcomes.toArray(CompletableFuture[]::new))
        .thenApply(
            ignored -> settlement(stageOutcomes.stream().map(CompletableFuture::join).toList()));
  }

  /** Call of a key in one non-idempotent stage, whose outcome is asked for. */
  private record SettleQuery(
      StageSpec spec, int stage, String workspace, String pipeline, String key, String shard) {
    Message.Settle message(long id) {
      return new Message.Settle(id, workspace, pipeline, stage, spec.operation(), key);
    }
  }

  private CompletableFuture<Message.Settled> ask(SettleQuery query) {
    CompletableFuture<Message.Settled> answer = new CompletableFuture<>();
    attempt(query, null, Set.of(), answer);
    return answer
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .exceptionally(
            failure -> {
              throw ownerUnavailable(query);
            });
  }

  private static ProblemException ownerUnavailable(SettleQuery query) {
    return new ProblemException(
        new Failure(
            ProblemKind.NO_UPSTREAM,
            Outcome.UNKNOWN,
            "the owner of " + query.shard() + " does not answer; settle the key again later",
            1000));
  }

  private void attempt(
      SettleQuery query,
      @Nullable String ownerHint,
      Set<String> avoid,
      CompletableFuture<Message.Settled> answer) {
    if (answer.isDone()) {
      return;
    }
    Optional<OwnerChooser.ChosenAgent> chosenAgent =
        ownerChooser.choose(query.spec().pool(), query.shard(), ownerHint, avoid);
    if (chosenAgent.isEmpty()) {
      retryLater(query, answer);
      return;
    }
    AgentLink link = chosenAgent.get().link();
    link.settle(query::message)
        .whenComplete(
            (settled, failure) -> {
              if (failure != null) {
                retryLater(query, answer);
              } else if (settled.outcome() == Message.Outcome.UNKNOWN
                  && directory
                      .findNamedIn(settled.detail())
                      .filter(other -> other != link)
                      .isPresent()) {
                redirect(query, ownerHint, settled.detail(), link.name(), answer);
              } else {
                answer.complete(settled);
              }
            });
  }

  /**
   * Asks the owner that an agent named: at once the first time, then after a delay, since two
   * agents may name each other.
   */
  private void redirect(
      SettleQuery query,
      @Nullable String previousHint,
      String ownerHint,
      String askedAgent,
      CompletableFuture<Message.Settled> answer) {
    timers.schedule(
        () -> attempt(query, ownerHint, Set.of(askedAgent), answer),
        previousHint == null ? 0 : RETRY_DELAY.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void retryLater(SettleQuery query, CompletableFuture<Message.Settled> answer) {
    timers.schedule(
        () -> attempt(query, null, Set.of(), answer),
        RETRY_DELAY.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private static Map<String, Object> json(SettleQuery query, Message.Settled settled) {
    Map<String, Object> stageJson = new LinkedHashMap<>();
    stageJson.put("stage", query.spec().name());
    stageJson.put("outcome", Outcome.valueOf(settled.outcome().name()).apiName());
    stageJson.put("detail", settled.detail());
    if (settled.payload().length > 0) {
      try {
        stageJson.put("output", JSON.readTree(settled.payload()));
      } catch (IOException e) {
        stageJson.put("detail", settled.detail() + " (the recorded output is not JSON)");
      }
    }
    return stageJson;
  }

  private static Settlement settlement(List<Map<String, Object>> stages) {
    List<Object> outcomes = stages.stream().map(stage -> stage.get("outcome")).distinct().toList();
    for (Outcome outcome : Outcome.values()) {
      if (outcomes.equals(List.of(outcome.apiName()))) {
        return new Settlement(outcome, stages);
      }
    }
    return new Settlement(Outcome.UNKNOWN, stages);
  }
}
