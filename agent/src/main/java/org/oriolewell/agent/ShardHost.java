package org.oriolewell.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.call.CallId;
import org.oriolewell.core.call.ShardAction;
import org.oriolewell.core.call.ShardAction.Verdict;
import org.oriolewell.core.call.ShardEvent;
import org.oriolewell.core.call.ShardOwner;
import org.oriolewell.core.call.ShardRecord;
import org.oriolewell.core.call.ShardSettings;

/**
 * Carries out what the state machine of one shard asks for. A call for a shard that this process
 * doesn't own makes it look for the owner: it refuses the call if the owner answers, and claims the
 * shard otherwise. Used on the agent's loop only.
 */
final class ShardHost {
  // Bounds the store reads and probes that misdirected calls cause, to four a second.
  private static final Duration LOOK_INTERVAL = Duration.ofMillis(250);

  // A process that is recorded as owner without listing the shard may be waiting for the store.
  private static final Duration UNCLEAR_OWNER_PATIENCE = Duration.ofSeconds(2);

  // A single lost answer of the store is repaired in less time than this.
  private static final Duration STORE_PATIENCE = Duration.ofMillis(300);

  /** Somebody who waits for a verdict on a key. */
  interface Question {
    /** Returns the event that asks the shard. */
    ShardEvent event();

    /** Takes the verdict. */
    void answer(Verdict verdict, byte @Nullable [] output, String detail);
  }

  private final String shard;
  private final AgentContext context;
  private final ShardStore store;
  private final Supplier<OwnerProbe> probe;
  private final ShardOwner owner;
  private final Runnable onReleased;
  private final Map<Long, NonIdempotentCall> calls = new HashMap<>();
  private final Map<Long, Question> questions = new HashMap<>();
  private final Deque<ShardEvent> events = new ArrayDeque<>();
  private final Set<CallId> running = new HashSet<>();
  private final List<Runnable> parked = new ArrayList<>();
  private boolean handling;
  private boolean looking;
  private @Nullable Instant storeAwaySince;
  private boolean releasing;
  private boolean released;
  private boolean acquired;
  private String claimReason = "";
  private String otherOwner = "";
  private Instant nextLook = Instant.MIN;
  private @Nullable Instant unclearSince;

  ShardHost(
      String shard,
      String address,
      ShardSettings settings,
      AgentContext context,
      ShardStore store,
      Supplier<OwnerProbe> probe,
      Runnable onReleased) {
    this.shard = shard;
    this.context = context;
    this.store = store;
    this.probe = probe;
    this.onReleased = onReleased;
    owner = ShardOwner.of(shard, context.identity().process(), address, settings);
  }

  /** Returns the epoch at which this process owns the shard, or empty. */
  Optional<Long> epoch() {
    return owner.state().equals("owned") ? owner.epoch() : Optional.empty();
  }

  /** Returns whether the shard was released and takes no more calls. */
  boolean released() {
    return released;
  }

  /** Takes a call that was admitted. */
  void arrived(NonIdempotentCall call) {
    calls.put(call.number(), call);
    if (owner.state().equals("unowned") && !releasing) {
      parked.add(() -> deliver(call));
      look();
    } else {
      deliver(call);
    }
  }

  private void deliver(NonIdempotentCall call) {
    if (calls.containsKey(call.number())) {
      on(call.arrival());
    }
  }

  /** Takes a question for a key's outcome. */
  void ask(long number, Question question) {
    questions.put(number, question);
    Runnable task = () -> on(question.event());
    switch (owner.state()) {
      case "unowned" -> {
        parked.add(task);
        look();
      }
      case "reading", "claiming" -> parked.add(task);
      default -> task.run();
    }
  }

  /**
   * Takes back a call that doesn't run here.
   *
   * @return whether it waits for a running call with the same key, so that it may have run
   */
  boolean leave(NonIdempotentCall call) {
    boolean joined = isRunning(call);
    on(new ShardEvent.Denied(call.number()));
    calls.remove(call.number());
    return joined;
  }

  /** Returns whether a call with the same identity is at the upstream. */
  boolean isRunning(NonIdempotentCall call) {
    return running.contains(call.id());
  }

  /** Returns the number of calls at the upstream. */
  int runningCount() {
    return running.size();
  }

  /** Takes the end of a call at the upstream. */
  void finished(NonIdempotentCall call, ShardEvent.Finished event) {
    running.remove(call.id());
    on(event);
  }

  /** Starts the release; {@code onReleased} follows. */
  void release() {
    releasing = true;
    on(new ShardEvent.Release());
  }

  void tick() {
    on(new ShardEvent.Tick());
    Instant since = storeAwaySince;
    if (since != null && !context.clock().instant().isBefore(since.plus(STORE_PATIENCE))) {
      List.copyOf(calls.values()).forEach(NonIdempotentCall::storeIsAway);
    }
  }

  /** Handles an event, after those that came before it. */
  void on(ShardEvent event) {
    observeStore(event);
    events.add(event);
    if (handling) {
      return;
    }
    handling = true;
    try {
      while (!events.isEmpty()) {
        owner.on(events.remove(), context.clock().instant()).forEach(this::perform);
      }
    } finally {
      handling = false;
    }
  }

  private void observeStore(ShardEvent event) {
    if (ShardStore.meansThere(event)) {
      storeAwaySince = null;
    } else if (ShardStore.meansAway(event) && storeAwaySince == null) {
      storeAwaySince = context.clock().instant();
    }
  }

  // Looking for the owner.

  private void look() {
    if (looking) {
      return;
    }
    if (context.clock().instant().isBefore(nextLook)) {
      unpark();
      return;
    }
    looking = true;
    store.read(shard).whenComplete((event, failure) -> context.loop().execute(() -> onLook(event)));
  }

  private void onLook(ShardEvent event) {
    observeStore(event);
    if (!(event instanceof ShardEvent.RecordRead read)) {
      looking = false;
      otherOwner = "";
      nextLook = context.clock().instant().plus(LOOK_INTERVAL);
      unpark();
      return;
    }
    ShardRecord record = read.record();
    if (record == null) {
      claim("the shard has no record");
      return;
    }
    String recorded = record.owner();
    String address = record.ownerAddress();
    if (recorded == null || address == null) {
      claim("the shard was released");
    } else if (recorded.equals(context.identity().process())) {
      claim("the record names this process");
    } else {
      probe
          .get()
          .probe(shard, recorded, address)
          .whenComplete(
              (finding, failure) ->
                  context.loop().execute(() -> onProbe(finding, recorded, address)));
    }
  }

  private void onProbe(OwnerProbe.Finding finding, String recorded, String address) {
    Instant now = context.clock().instant();
    if (finding != OwnerProbe.Finding.DOES_NOT_OWN) {
      unclearSince = null;
    } else if (unclearSince == null) {
      unclearSince = now;
    }
    boolean unclearTooLong =
        unclearSince != null
            && Duration.between(unclearSince, now).compareTo(UNCLEAR_OWNER_PATIENCE) > 0;
    if (finding == OwnerProbe.Finding.GONE) {
      claim("the owner " + recorded + " at " + address + " does not answer");
    } else if (unclearTooLong) {
      claim("the recorded owner " + recorded + " does not own the shard");
    } else {
      looking = false;
      otherOwner = recorded + " at " + address;
      nextLook = now.plus(LOOK_INTERVAL);
      log(AgentEvent.SHARD_NOT_TAKEN, otherOwner + ": " + finding);
      unpark();
    }
  }

  private void claim(String reason) {
    looking = false;
    otherOwner = "";
    if (releasing) {
      unpark();
      return;
    }
    claimReason = reason;
    on(new ShardEvent.Claim());
  }

  private void unpark() {
    List<Runnable> tasks = List.copyOf(parked);
    parked.clear();
    tasks.forEach(Runnable::run);
  }

  // Actions.

  private void perform(ShardAction action) {
    if (action instanceof ShardAction.ReadRecord) {
      later(store.read(shard));
    } else if (action instanceof ShardAction.WriteRecord write) {
      later(store.write(shard, write.expectedRevision(), write.record()));
    } else if (action instanceof ShardAction.WriteSegment write) {
      later(store.writeSegment(write.storeKey(), write.segment()));
    } else if (action instanceof ShardAction.AskStart ask) {
      withCall(ask.callNumber(), call -> call.askStart(ask.epoch()));
    } else if (action instanceof ShardAction.Run run) {
      withCall(
          run.callNumber(),
          call -> {
            running.add(call.id());
            call.run();
          });
    } else if (action instanceof ShardAction.Reply reply) {
      NonIdempotentCall call = calls.remove(reply.callNumber());
      if (call != null) {
        call.reply(reply.verdict(), reply.output(), otherOwner, storeAwaySince != null);
      }
    } else if (action instanceof ShardAction.Settled settled) {
      Question question = questions.remove(settled.settleNumber());
      if (question != null) {
        question.answer(settled.verdict(), settled.output(), otherOwner);
      }
    } else {
      ownershipChanged(action);
    }
  }

  private void ownershipChanged(ShardAction action) {
    if (action instanceof ShardAction.Acquired taken) {
      acquired = true;
      context
          .log()
          .event(AgentEvent.SHARD_TAKEN)
          .with("shard", shard)
          .with("epoch", taken.epoch())
          .with("ambiguous_ranges", taken.ambiguousRangeCount())
          .with("reason", claimReason)
          .write();
      if (releasing) {
        events.add(new ShardEvent.Release());
      }
      context.loop().execute(this::unpark);
    } else if (action instanceof ShardAction.Lost) {
      log(
          acquired ? AgentEvent.SHARD_LOST : AgentEvent.SHARD_NOT_TAKEN,
          storeAwaySince != null
              ? "the store does not answer"
              : "another process wrote the record");
      acquired = false;
      context.loop().execute(this::unpark);
      finishRelease();
    } else if (action instanceof ShardAction.Released) {
      if (acquired) {
        log(AgentEvent.SHARD_RELEASED, "the agent drains");
      }
      acquired = false;
      finishRelease();
    }
  }

  private void finishRelease() {
    if (releasing && !released) {
      released = true;
      onReleased.run();
    }
  }

  private void later(CompletableFuture<ShardEvent> event) {
    event.whenComplete((value, failure) -> context.loop().execute(() -> on(value)));
  }

  private void withCall(long number, Consumer<NonIdempotentCall> action) {
    NonIdempotentCall call = calls.get(number);
    if (call != null) {
      action.accept(call);
    }
  }

  private void log(AgentEvent event, String reason) {
    context.log().event(event).with("shard", shard).with("reason", reason).write();
  }
}
