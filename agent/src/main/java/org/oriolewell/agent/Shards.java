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

/** The shards of the pool's non-idempotent calls, as far as this process has to do with them. */
final class Shards implements NonIdempotentCalls {
  private final AgentContext context;
  private final ShardStore store;
  private final ShardSettings settings;
  private final Supplier<String> address;
  private final Supplier<OwnerProbe> probe;
  private final Map<String, ShardHost> hosts = new LinkedHashMap<>();
  private Runnable onReleased = () -> {};
  private boolean releasing;
  private long nextNumber;

  /**
   * Creates the shards.
   *
   * @param address address at which this process takes calls, known once its port is bound
   * @param probe makes a probe that greets with the present state
   */
  Shards(
      AgentContext context,
      ShardStore store,
      ShardSettings settings,
      Supplier<String> address,
      Supplier<OwnerProbe> probe) {
    this.context = context;
    this.store = store;
    this.settings = settings;
    this.address = address;
    this.probe = probe;
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
    return checkPool();
  }

  /** The number of shards must be known: with another number a key would have two owners. */
  private Optional<Refusal> checkPool() {
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
    IdempotencyKey key = parse(message.key());
    CallId id = CallId.of(message.workspace(), message.pipeline(), message.stage(), key.text());
    return new NonIdempotentCall(context, dialer, call, ++nextNumber, id, key, host(id));
  }

  private static IdempotencyKey parse(@Nullable String text) {
    try {
      return IdempotencyKey.parse(text == null ? "" : text);
    } catch (InvalidKeyException e) {
      throw new IllegalArgumentException("the key was not checked", e);
    }
  }

  private ShardHost host(CallId id) {
    PoolSpec spec = context.config().current().pools().get(context.identity().pool());
    if (spec == null) {
      throw new IllegalStateException("the pool was not checked");
    }
    String name = CallId.shardName(context.identity().pool(), id.shardIndex(spec.shards()));
    return hosts.computeIfAbsent(
        name,
        shard ->
            new ShardHost(
                shard, address.get(), settings, context, store, probe, this::checkReleased));
  }

  @Override
  public void settle(Dialer dialer, Message.Settle question) {
    Optional<Refusal> refusal = checkPool();
    IdempotencyKey key;
    try {
      key = IdempotencyKey.parse(question.key());
    } catch (InvalidKeyException e) {
      settled(dialer, question, Outcome.UNKNOWN, String.valueOf(e.getMessage()), null);
      return;
    }
    if (refusal.isPresent()) {
      settled(dialer, question, Outcome.UNKNOWN, refusal.get().detail(), null);
      return;
    }
    CallId id = CallId.of(question.workspace(), question.pipeline(), question.stage(), key.text());
    long number = ++nextNumber;
    host(id)
        .ask(
            number,
            new ShardHost.Question() {
              @Override
              public ShardEvent event() {
                return new ShardEvent.Settle(number, id, key.issuedMillis());
              }

              @Override
              public void answer(Verdict verdict, byte @Nullable [] output, String owner) {
                String detail = verdict + (owner.isEmpty() ? "" : "; the owner is " + owner);
                settled(dialer, question, Verdicts.outcome(verdict), detail, output);
              }
            });
  }

  private static void settled(
      Dialer dialer,
      Message.Settle question,
      Outcome outcome,
      String detail,
      byte @Nullable [] output) {
    dialer.send(
        new Message.Settled(question.id(), outcome, detail, output == null ? new byte[0] : output));
  }

  @Override
  public Map<String, Long> shards() {
    Map<String, Long> owned = new TreeMap<>();
    hosts.forEach((name, host) -> host.epoch().ifPresent(epoch -> owned.put(name, epoch)));
    return owned;
  }

  @Override
  public int running() {
    return hosts.values().stream().mapToInt(ShardHost::runningCount).sum();
  }

  /** Lets time pass in all shards. */
  void tick() {
    List.copyOf(hosts.values()).forEach(ShardHost::tick);
  }

  @Override
  public void release(Runnable listener) {
    onReleased = listener;
    releasing = true;
    new ArrayList<>(hosts.values()).forEach(ShardHost::release);
    checkReleased();
  }

  private void checkReleased() {
    if (!releasing) {
      // The drain was withdrawn before the store took the shard back.
      hosts.values().removeIf(ShardHost::released);
    } else if (releasing && hosts.values().stream().allMatch(ShardHost::released)) {
      releasing = false;
      onReleased.run();
    }
  }

  @Override
  public void reopen() {
    releasing = false;
    // A released shard's machine has ended; the next call makes a new one that claims again.
    hosts.values().removeIf(ShardHost::released);
  }
}
