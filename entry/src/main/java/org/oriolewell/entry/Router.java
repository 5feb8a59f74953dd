package org.oriolewell.entry;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.result.RequestAction;
import org.oriolewell.core.result.StageCall;
import org.oriolewell.runtime.log.EventLog;

/** Finds the agent for a call and logs the decision. */
final class Router {
  private final AgentDirectory directory;
  private final Chooser chooser;
  private final OwnerChooser owners;
  private final double sampling;
  private final RandomGenerator random;
  private final EventLog log;

  /**
   * Creates a router.
   *
   * @param sampling part of the decisions that is logged
   */
  Router(
      AgentDirectory directory,
      Chooser chooser,
      double sampling,
      RandomGenerator random,
      EventLog log) {
    this.directory = directory;
    this.chooser = chooser;
    this.owners = new OwnerChooser(directory);
    this.sampling = sampling;
    this.random = random;
    this.log = log;
  }

  /** Returns the agent for a call, or empty if none takes it. */
  Optional<AgentLink> route(RequestAction.Dispatch dispatch, CallerRequest request) {
    StageCall call = dispatch.call();
    StageSpec stage = request.spec().stages().get(call.stage());
    PoolMembers members = directory.members(stage.pool());
    String key = dispatch.key();
    Optional<Chooser.Choice> choice =
        key == null
            ? chooser.choose(members, dispatch.avoid())
            : owners.choose(
                members, request.shard(call.stage(), key), dispatch.owner(), dispatch.avoid());
    if (sampling >= 1 || random.nextDouble() < sampling) {
      write(call, stage, choice);
    }
    return choice.map(Chooser.Choice::link);
  }

  private void write(StageCall call, StageSpec stage, Optional<Chooser.Choice> choice) {
    log.event(EntryEvent.ROUTING_DECISION)
        .with("request", call.requestId())
        .with("stage", stage.name())
        .with("attempt", call.attempt())
        .with("pool", stage.pool())
        .with("candidates", choice.map(Chooser.Choice::candidates).orElse(""))
        .with("choice", choice.map(c -> c.link().processName()).orElse(""))
        .with("reason", choice.map(Chooser.Choice::reason).orElse("no usable agent"))
        .write();
  }
}
