package org.oriolewell.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.call.CallId;
import org.oriolewell.core.call.IdempotencyKey;
import org.oriolewell.core.call.InvalidKeyException;
import org.oriolewell.core.call.ShardAction.Verdict;
import org.oriolewell.core.call.ShardEvent;
import org.oriolewell.core.call.ShardSettings;
import org.oriolewell.core.config.PoolSpec;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.Outcome;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/**
 * Runs non-idempotent calls: passes each to the controller of its key's shard. A shard gets a
 * controller with the first call for it. Used on the agent's loop only.
 */
final class ShardedCalls implements NonIdempotentCalls {
  private final AgentContext context;
  private final ShardStore store;
  private final ShardSettings shardSettings;
  private final Supplier<String> wireAddress;
  private final Supplier<OwnerProbe> probeFactory;
  private final Map<String, ShardController> controllers = new LinkedHashMap<>();
  private Runnable releasedListener = () -> {};
  private boolean releasing;
  private long lastAssignedNumber;

  /**
   * Creates an instance without shards.
   *
   * @param wireAddress supplies the address of this agent's wire port, known once the port is bound
   * @param probeFactory creates a probe whose HELLO message carries the current state of this agent
   */
  ShardedCalls(
      AgentContext context,
      ShardStore store,
      ShardSettings shardSettings,
      Supplier<String> wireAddress,
      Supplier<OwnerProbe> probeFactory) {
    this.context = context;
    this.store = store;
    this.shardSettings = shardSettings;
    this.wireAddress = wireAddress;
    this.probeFactory = probeFactory;
  }

  @Override
  public Optional<Refusal> check(UpstreamCall call) {
    if (call.message().key() == null) {
      return Optional.of(
          Refusal.notRun(RefusalKind.INVALID, "a non-idempotent call needs an idempotency key"));
    }
    if (call.message().streaming()) {
      return Optional.of(
          Refusal.notRun(RefusalKind.INVALID, "a non-idempotent call cannot be streamed"));
    }
    try {
      IdempotencyKey.parse(call.message().key());
    } catch (InvalidKeyException e) {
      return Optional.of(Refusal.notRun(RefusalKind.KEY_TIME, String.valueOf(e.getMessage())));
    }
    return checkPoolConfig();
  }

  /**
   * Returns a refusal if the configuration of this agent's pool is unknown or has no shards. Agents
   * that assume different numbers of shards would give one key two owners.
   */
  private Optional<Refusal> checkPoolConfig() {
    String pool = context.identity().pool();
    PoolSpec spec = context.config().current().pools().get(pool);
    if (spec == null) {
      return Optional.of(
          Refusal.notRun(
              RefusalKind.STORE_UNAVAILABLE,
              "this agent has no configuration of pool " + pool + " yet; retry elsewhere"));
    }
    return spec.shards() > 0
        ? Optional.empty()
        : Optional.of(
            Refusal.notRun(
                RefusalKind.INVALID,
                "pool " + pool + " has no shards for non-idempotent calls; configure them"));
  }

  @Override
  public ActiveCall create(Dialer dialer, UpstreamCall call) {
    Message.Call message = call.message();
    IdempotencyKey key = parseCheckedKey(message.key());
    CallId callId = CallId.of(message.workspace(), message.pipeline(), message.stage(), key.text());
    return new NonIdempotentCall(
        context, dialer, call, ++lastAssignedNumber, callId, key, controller(callId));
  }

  private static IdempotencyKey parseCheckedKey(@Nullable String text) {
    try {
      return IdempotencyKey.parse(text == null ? "" : text);
    } catch (InvalidKeyException e) {
      throw new IllegalArgumentException("the key was not checked", e);
    }
  }

  private ShardController controller(CallId callId) {
    PoolSpec spec = context.config().current().pools().get(context.identity().pool());
    if (spec == null) {
      throw new IllegalStateException("the pool was not checked");
    }
    String name = CallId.shardName(context.identity().pool(), callId.shardIndex(spec.shards()));
    return controllers.computeIfAbsent(
        name,
        shard ->
            new ShardController(
                shard,
                wireAddress.get(),
                shardSettings,
                context,
                store,
                probeFactory,
                this::notifyIfReleased));
  }

  @Override
  public void settle(Dialer dialer, Message.Settle request) {
    Optional<Refusal> refusal = checkPoolConfig();
    IdempotencyKey key;
    try {
      key = IdempotencyKey.parse(request.key());
    } catch (InvalidKeyException e) {
      sendSettled(dialer, request, Outcome.UNKNOWN, String.valueOf(e.getMessage()), null);
      return;
    }
    if (refusal.isPresent()) {
      sendSettled(dialer, request, Outcome.UNKNOWN, refusal.get().detail(), null);
      return;
    }
    CallId callId = CallId.of(request.workspace(), request.pipeline(), request.stage(), key.text());
    long settleNumber = ++lastAssignedNumber;
    controller(callId)
        .settle(
            settleNumber,
            new ShardController.SettleRequest() {
              @Override
              public ShardEvent settleEvent() {
                return new ShardEvent.Settle(settleNumber, callId, key.issuedMillis());
              }

              @Override
              public void answer(Verdict verdict, byte @Nullable [] output, String otherOwner) {
                String detail =
                    verdict + (otherOwner.isEmpty() ? "" : "; the owner is " + otherOwner);
                sendSettled(dialer, request, Verdicts.outcome(verdict), detail, output);
              }
            });
  }

  private static void sendSettled(
      Dialer dialer,
      Message.Settle request,
      Outcome outcome,
      String detail,
      byte @Nullable [] output) {
    dialer.send(
        new Message.Settled(request.id(), outcome, detail, output == null ? new byte[0] : output));
  }

  @Override
  public Map<String, Long> ownedShards() {
    Map<String, Long> epochsByShard = new TreeMap<>();
    controllers.forEach(
        (name, controller) ->
            controller.epoch().ifPresent(epoch -> epochsByShard.put(name, epoch)));
    return epochsByShard;
  }

  @Override
  public int runningCount() {
    return controllers.values().stream().mapToInt(ShardController::runningCount).sum();
  }

  /** Checks the time limits of all shards and their calls; called about every 50 ms. */
  void tick() {
    List.copyOf(controllers.values()).forEach(ShardController::tick);
  }

  @Override
  public void release(Runnable onAllReleased) {
    releasedListener = onAllReleased;
    releasing = true;
    new ArrayList<>(controllers.values()).forEach(ShardController::release);
    notifyIfReleased();
  }

  private void notifyIfReleased() {
    if (!releasing) {
      // The drain was withdrawn before the store acknowledged the release.
      controllers.values().removeIf(ShardController::released);
    } else if (releasing && controllers.values().stream().allMatch(ShardController::released)) {
      releasing = false;
      releasedListener.run();
    }
  }

  @Override
  public void reopen() {
    releasing = false;
    // The state machine of a released shard can't claim again; the next call creates a new one.
    controllers.values().removeIf(ShardController::released);
  }
}
