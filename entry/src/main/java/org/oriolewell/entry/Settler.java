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
 * Asks the owners of an idempotency key's shards for its final outcome. An owner records a key that
 * didn't run as settled before it says so; the key then never runs.
 */
final class Settler {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration RETRY = Duration.ofMillis(100);

  private final AgentDirectory directory;
  private final OwnerChooser owners;
  private final ScheduledExecutorService timers;
  private final Duration timeout;

  /**
   * Creates a settler.
   *
   * @param timeout longest time to find an owner that answers
   */
  Settler(AgentDirectory directory, ScheduledExecutorService timers, Duration timeout) {
    this.directory = directory;
    this.owners = new OwnerChooser(directory);
    this.timers = timers;
    this.timeout = timeout;
  }

  /** Settles a key; fails with {@link ProblemException} if an owner doesn't answer in time. */
  CompletableFuture<Settlement> settle(
      ConfigDocument config, String workspace, String pipeline, String key) {
    PipelineSpec spec = config.pipelines().get(pipeline);
    if (spec == null) {
      throw ProblemException.of(
          ProblemKind.UNKNOWN_PIPELINE,
          "there is no pipeline '" + pipeline + "'; name a configured one");
    }
    List<CompletableFuture<Map<String, Object>>> asked = new ArrayList<>();
    for (int stage = 0; stage < spec.stages().size(); stage++) {
      if (!spec.stages().get(stage).idempotent()) {
        Question question =
            new Question(
                spec.stages().get(stage),
                stage,
                workspace,
                pipeline,
                key,
                CallerRequest.shard(config, workspace, pipeline, stage, key));
        asked.add(ask(question).thenApply(settled -> json(question, settled)));
      }
    }
    if (asked.isEmpty()) {
      throw ProblemException.of(
          ProblemKind.INVALID_REQUEST,
          "the pipeline '" + pipeline + "' has no non-idempotent stage; send the request again");
    }
    return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
        .thenApply(all -> settlement(asked.stream().map(CompletableFuture::join).toList()));
  }

  private record Question(
      StageSpec spec, int stage, String workspace, String pipeline, String key, String shard) {
    Message.Settle message(long id) {
      return new Message.Settle(id, workspace, pipeline, stage, spec.operation(), key);
    }
  }

  private CompletableFuture<Message.Settled> ask(Question question) {
    CompletableFuture<Message.Settled> answer = new CompletableFuture<>();
    attempt(question, null, Set.of(), answer);
    return answer
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .exceptionally(
            failure -> {
              throw unreachable(question);
            });
  }

  private static ProblemException unreachable(Question question) {
    return new ProblemException(
        new Failure(
            ProblemKind.NO_UPSTREAM,
            Outcome.UNKNOWN,
            "the owner of " + question.shard() + " does not answer; settle the key again later",
            1000));
  }

  private void attempt(
      Question question,
      @Nullable String hint,
      Set<String> avoid,
      CompletableFuture<Message.Settled> answer) {
    if (answer.isDone()) {
      return;
    }
    Optional<OwnerChooser.Owner> owner =
        owners.choose(question.spec().pool(), question.shard(), hint, avoid);
    if (owner.isEmpty()) {
      later(question, answer);
      return;
    }
    AgentLink link = owner.get().link();
    link.settle(question::message)
        .whenComplete(
            (settled, failure) -> {
              if (failure != null) {
                later(question, answer);
              } else if (settled.outcome() == Message.Outcome.UNKNOWN
                  && directory.named(settled.detail()).filter(other -> other != link).isPresent()) {
                redirect(question, hint, settled.detail(), link.name(), answer);
              } else {
                answer.complete(settled);
              }
            });
  }

  /** Asks a named owner at once, and again after a delay, since two agents may name each other. */
  private void redirect(
      Question question,
      @Nullable String earlier,
      String owner,
      String asked,
      CompletableFuture<Message.Settled> answer) {
    timers.schedule(
        () -> attempt(question, owner, Set.of(asked), answer),
        earlier == null ? 0 : RETRY.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void later(Question question, CompletableFuture<Message.Settled> answer) {
    timers.schedule(
        () -> attempt(question, null, Set.of(), answer), RETRY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static Map<String, Object> json(Question question, Message.Settled settled) {
    Map<String, Object> stage = new LinkedHashMap<>();
    stage.put("stage", question.spec().name());
    stage.put("outcome", Outcome.valueOf(settled.outcome().name()).apiName());
    stage.put("detail", settled.detail());
    if (settled.payload().length > 0) {
      try {
        stage.put("output", JSON.readTree(settled.payload()));
      } catch (IOException e) {
        stage.put("detail", settled.detail() + " (the recorded output is not JSON)");
      }
    }
    return stage;
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
