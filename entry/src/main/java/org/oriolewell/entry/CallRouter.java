package org.oriolewell.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.result.RequestAction;
import org.oriolewell.core.result.StageCall;
import org.oriolewell.core.routing.Choice;
import org.oriolewell.core.routing.PromptPrefix;
import org.oriolewell.runtime.log.EventLog;

/** Finds the agent for a call and logs the decision. */
final class CallRouter {
  private static final int BYTES_PER_TOKEN = 16;

  private final AgentDirectory directory;
  private final OwnerChooser owners;
  private final double sampling;
  private final RandomGenerator random;
  private final EventLog log;

  /**
   * Creates a router.
   *
   * @param sampling part of the decisions that is logged
   */
  CallRouter(AgentDirectory directory, double sampling, RandomGenerator random, EventLog log) {
    this.directory = directory;
    this.owners = new OwnerChooser(directory);
    this.sampling = sampling;
    this.random = random;
    this.log = log;
  }

  /**
   * Returns the agent for a call, or empty if none takes it.
   *
   * @param payloadBytes size of the call's payload
   */
  Optional<AgentLink> route(
      RequestAction.Dispatch dispatch, CallerRequest request, int payloadBytes) {
    StageSpec stage = request.spec().stages().get(dispatch.call().stage());
    String key = dispatch.key();
    if (key != null) {
      return toOwner(dispatch, request, stage, key);
    }
    Choice choice =
        directory
            .router(stage.pool())
            .choose(prefix(request, stage), bytes(stage, payloadBytes), dispatch.avoid());
    String chosen = choice.chosen();
    write(dispatch.call(), stage, choice.candidates(), chosen, String.valueOf(choice.reason()));
    return directory.link(chosen);
  }

  private Optional<AgentLink> toOwner(
      RequestAction.Dispatch dispatch, CallerRequest request, StageSpec stage, String key) {
    String shard = request.shard(dispatch.call().stage(), key);
    OwnerChooser.Owner owner =
        owners.choose(stage.pool(), shard, dispatch.owner(), dispatch.avoid()).orElse(null);
    String name = owner == null ? "" : owner.link().name();
    write(dispatch.call(), stage, shard, name, owner == null ? "no usable agent" : owner.reason());
    return Optional.ofNullable(owner).map(OwnerChooser.Owner::link);
  }

  private static long prefix(CallerRequest request, StageSpec stage) {
    if (stage.model() == null) {
      return 0;
    }
    JsonNode input = request.input();
    JsonNode prompt = input.isTextual() ? input : input.path("prompt");
    return PromptPrefix.hash(prompt.isTextual() ? prompt.textValue() : input.toString());
  }

  /** Estimates the bytes of call and answer; other answers are taken to be as large as the call. */
  private static int bytes(StageSpec stage, int payloadBytes) {
    return stage.model() == null
        ? 2 * payloadBytes
        : payloadBytes + stage.maxTokens() * BYTES_PER_TOKEN;
  }

  private void write(
      StageCall call, StageSpec stage, Object candidates, @Nullable String choice, String reason) {
    if (sampling < 1 && random.nextDouble() >= sampling) {
      return;
    }
    log.event(EntryEvent.ROUTING_DECISION)
        .with("request", call.requestId())
        .with("stage", stage.name())
        .with("attempt", call.attempt())
        .with("pool", stage.pool())
        .with("candidates", candidates)
        .with("choice", choice)
        .with("reason", reason)
        .write();
  }
}
