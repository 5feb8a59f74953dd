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

/** Chooses the agent that a call is sent to and logs a sample of these routing decisions. */
final class CallRouter {
  /** Assumed size of an answer's token, in bytes. */
  private static final int BYTES_PER_TOKEN = 16;

  private final AgentDirectory directory;
  private final OwnerChooser ownerChooser;
  private final double samplingShare;
  private final RandomGenerator random;
  private final EventLog log;

  /**
   * Creates a router.
   *
   * @param samplingShare share of the routing decisions that is logged, 0 to 1
   */
  CallRouter(AgentDirectory directory, double samplingShare, RandomGenerator random, EventLog log) {
    this.directory = directory;
    this.ownerChooser = new OwnerChooser(directory);
    this.samplingShare = samplingShare;
    this.random = random;
    this.log = log;
  }

  /**
   * Returns the agent that a call is to be sent to, or empty if no usable agent is known.
   *
   * @param payloadBytes size of the call's payload in bytes
   */
  Optional<AgentLink> route(
      RequestAction.Dispatch dispatch, CallerRequest request, int payloadBytes) {
    StageSpec stage = request.spec().stages().get(dispatch.call().stage());
    String key = dispatch.key();
    if (key != null) {
      return routeToOwner(dispatch, request, stage, key);
    }
    Choice choice =
        directory
            .router(stage.pool())
            .choose(
                promptPrefix(request, stage),
                estimatedBytes(stage, payloadBytes),
                dispatch.avoid());
    String upstream = choice.chosen();
    logDecision(
        dispatch.call(), stage, choice.candidates(), upstream, String.valueOf(choice.reason()));
    return directory.link(upstream);
  }

  private Optional<AgentLink> routeToOwner(
      RequestAction.Dispatch dispatch, CallerRequest request, StageSpec stage, String key) {
    String shard = request.shard(dispatch.call().stage(), key);
    OwnerChooser.ChosenAgent chosenAgent =
        ownerChooser.choose(stage.pool(), shard, dispatch.owner(), dispatch.avoid()).orElse(null);
    String agentName = chosenAgent == null ? "" : chosenAgent.link().name();
    logDecision(
        dispatch.call(),
        stage,
        shard,
        agentName,
        chosenAgent == null ? "no usable agent" : chosenAgent.reason());
    return Optional.ofNullable(chosenAgent).map(OwnerChooser.ChosenAgent::link);
  }

  private static long promptPrefix(CallerRequest request, StageSpec stage) {
    if (stage.model() == null) {
      return 0;
    }
    JsonNode input = request.input();
    JsonNode prompt = input.isTextual() ? input : input.path("prompt");
    return PromptPrefix.hash(prompt.isTextual() ? prompt.textValue() : input.toString());
  }

  /**
   * Estimates the size of a call and its answer in bytes; without a model, the answer is assumed to
   * be as large as the call.
   */
  private static int estimatedBytes(StageSpec stage, int payloadBytes) {
    return stage.model() == null
        ? 2 * payloadBytes
        : payloadBytes + stage.maxTokens() * BYTES_PER_TOKEN;
  }

  private void logDecision(
      StageCall call, StageSpec stage, Object candidates, @Nullable String chosen, String reason) {
    if (samplingShare < 1 && random.nextDouble() >= samplingShare) {
      return;
    }
    log.event(EntryEvent.ROUTING_DECISION)
        .with("request", call.requestId())
        .with("stage", stage.name())
        .with("attempt", call.attempt())
        .with("pool", stage.pool())
        .with("candidates", candidates)
        .with("choice", chosen)
        .with("reason", reason)
        .write();
  }
}
