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
 * Runs the state machine of one shard: passes it events and performs its actions. If this process
 * doesn't own the shard, a call triggers a lookup of the owner: the call is refused if the owner
 * answers, otherwise this process claims the shard. Used on the agent's loop only.
 */
final class ShardController {
  // Limits the store reads and probes that misdirected calls cause to four per second.
  private static final Duration OWNER_LOOKUP_INTERVAL = Duration.ofMillis(250);

  // Time for which a recorded owner that doesn't list the shard keeps it, as it may be waiting for
  // an answer of the store.
  private static final Duration UNLISTED_SHARD_GRACE = Duration.ofSeconds(2);

  // Time without an answer of the store after which waiting calls are refused. A single lost answer
  // is repaired in less time.
  private static final Duration STORE_OUTAGE_GRACE = Duration.ofMillis(300);

  /** A dialer's request for the final outcome of an idempotency key. */
  interface SettleRequest {
    /** Returns the event that passes this request to the shard's state machine. */
    ShardEvent settleEvent();

    /**
     * Receives the shard's verdict on the key.
     *
     * @param output kept output of an answered call; null otherwise
     * @param otherOwner process id and address of the shard's owner; empty if it isn't known
     */
    void answer(Verdict verdict, byte @Nullable [] output, String otherOwner);
  }

  private final String shard;
  private final AgentContext context;
  private final ShardStore store;
  private final Supplier<OwnerProbe> probeFactory;
  private final ShardOwner ownerMachine;
  private final Runnable releasedListener;
  private final Map<Long, NonIdempotentCall> calls = new HashMap<>();
  private final Map<Long, SettleRequest> settleRequests = new HashMap<>();
  private final Deque<ShardEvent> pendingEvents = new ArrayDeque<>();
  private final Set<CallId> runningCallIds = new HashSet<>();
  private final List<Runnable> deferredTasks = new ArrayList<>();
  private boolean handlingEvents;
  private boolean lookupRunning;
  private @Nullable Instant storeUnavailableSince;
  private boolean releasing;
  private boolean released;
  private boolean acquired;
  private String claimReason = "";
  private String otherOwner = "";
  private Instant nextLookupAt = Instant.MIN;
  private @Nullable Instant shardUnlistedSince;

  ShardController(
      String shard,
      String address,
      ShardSettings settings,
      AgentContext context,
      ShardStore store,
      Supplier<OwnerProbe> probeFactory,
      Runnable releasedListener) {
    this.shard = shard;
    this.context = context;
    this.store = store;
    this.probeFactory = probeFactory;
    this.releasedListener = releasedListener;
    ownerMachine = ShardOwner.of(shard, context.identity().process(), address, settings);
  }

  /** Returns the epoch at which this process owns the shard, or empty if it doesn't. */
  Optional<Long> epoch() {
    return ownerMachine.state().equals("owned") ? ownerMachine.epoch() : Optional.empty();
  }

  /** Returns whether the shard was released and takes no more calls. */
  boolean released() {
    return released;
  }

  /** Accepts a call that was admitted, and first looks up the owner if the shard isn't owned. */
  void submit(NonIdempotentCall call) {
    calls.put(call.callNumber(), call);
    if (ownerMachine.state().equals("unowned") && !releasing) {
      deferredTasks.add(() -> deliverArrival(call));
      lookUpOwner();
    } else {
      deliverArrival(call);
    }
  }

  private void deliverArrival(NonIdempotentCall call) {
    if (calls.containsKey(call.callNumber())) {
      handle(call.arrivalEvent());
    }
  }

  /** Accepts a request for a key's outcome, and answers it once the shard's owner is known. */
  void settle(long settleNumber, SettleRequest request) {
    settleRequests.put(settleNumber, request);
    Runnable settleTask = () -> handle(request.settleEvent());
    switch (ownerMachine.state()) {
      case "unowned" -> {
        deferredTasks.add(settleTask);
        lookUpOwner();
      }
      case "reading", "claiming" -> deferredTasks.add(settleTask);
      default -> settleTask.run();
    }
  }

  /**
   * Withdraws a call that this process hasn't started.
   *
   * @return whether a call with the same key is at the upstream, so that the key may have run
   */
  boolean withdraw(NonIdempotentCall call) {
    boolean sharesRunningCall = isKeyRunning(call);
    handle(new ShardEvent.Denied(call.callNumber()));
    calls.remove(call.callNumber());
    return sharesRunningCall;
  }

  /** Returns whether a call with the same key is at the upstream. */
  boolean isKeyRunning(NonIdempotentCall call) {
    return runningCallIds.contains(call.callId());
  }

  /** Returns the number of this shard's calls at the upstream. */
  int runningCount() {
    return runningCallIds.size();
  }

  /** Handles the end of a call at the upstream. */
  void callFinished(NonIdempotentCall call, ShardEvent.Finished event) {
    runningCallIds.remove(call.callId());
    handle(event);
  }

  /** Starts the release of the shard; {@code releasedListener} runs once it is complete. */
  void release() {
    releasing = true;
    handle(new ShardEvent.Release());
  }

  /** Checks the time limits of the shard and of its calls; called about every 50 ms. */
  void tick() {
    handle(new ShardEvent.Tick());
    Instant unavailableSince = storeUnavailableSince;
    if (unavailableSince != null
        && !context.clock().instant().isBefore(unavailableSince.plus(STORE_OUTAGE_GRACE))) {
      List.copyOf(calls.values()).forEach(NonIdempotentCall::onStoreUnavailable);
    }
  }

  /**
   * Passes an event to the state machine and performs its actions. An event that an action raises
   * is handled after all earlier ones.
   */
  void handle(ShardEvent event) {
    trackStoreAvailability(event);
    pendingEvents.add(event);
    if (handlingEvents) {
      return;
    }
    handlingEvents = true;
    try {
      while (!pendingEvents.isEmpty()) {
        ownerMachine.on(pendingEvents.remove(), context.clock().instant()).forEach(this::perform);
      }
    } finally {
      handlingEvents = false;
    }
  }

  private void trackStoreAvailability(ShardEvent event) {
    if (ShardStore.isStoreAnswer(event)) {
      storeUnavailableSince = null;
    } else if (ShardStore.isStoreFailure(event) && storeUnavailableSince == null) {
      storeUnavailableSince = context.clock().instant();
    }
  }

  // Lookup of the shard's owner.

  private void lookUpOwner() {
    if (lookupRunning) {
      return;
    }
    if (context.clock().instant().isBefore(nextLookupAt)) {
      runDeferredTasks();
      return;
    }
    lookupRunning = true;
    store
        .read(shard)
        .whenComplete((event, failure) -> context.loop().execute(() -> handleLookupRecord(event)));
  }

  private void handleLookupRecord(ShardEvent event) {
    trackStoreAvailability(event);
    if (!(event instanceof ShardEvent.RecordRead read)) {
      lookupRunning = false;
      otherOwner = "";
      nextLookupAt = context.clock().instant().plus(OWNER_LOOKUP_INTERVAL);
      runDeferredTasks();
      return;
    }
    ShardRecord record = read.record();
    if (record == null) {
      claim("the shard has no record");
      return;
    }
    String recordedOwner = record.owner();
    String address = record.ownerAddress();
    if (recordedOwner == null || address == null) {
      claim("the shard was released");
    } else if (recordedOwner.equals(context.identity().process())) {
      claim("the record names this process");
    } else {
      probeFactory
          .get()
          .probe(shard, recordedOwner, address)
          .whenComplete(
              (finding, failure) ->
                  context
                      .loop()
                      .execute(() -> handleProbeFinding(finding, recordedOwner, address)));
    }
  }

  private void handleProbeFinding(
      OwnerProbe.Finding finding, String recordedOwner, String address) {
    Instant currentTime = context.clock().instant();
    if (finding != OwnerProbe.Finding.DOES_NOT_OWN) {
      shardUnlistedSince = null;
    } else if (shardUnlistedSince == null) {
      shardUnlistedSince = currentTime;
    }
    boolean unlistedTooLong =
        shardUnlistedSince != null
            && Duration.between(shardUnlistedSince, currentTime).compareTo(UNLISTED_SHARD_GRACE)
                > 0;
    if (finding == OwnerProbe.Finding.GONE) {
      claim("the owner " + recordedOwner + " at " + address + " does not answer");
    } else if (unlistedTooLong) {
      claim("the recorded owner " + recordedOwner + " does not own the shard");
    } else {
      lookupRunning = false;
      otherOwner = recordedOwner + " at " + address;
      nextLookupAt = currentTime.plus(OWNER_LOOKUP_INTERVAL);
      log(AgentEvent.SHARD_NOT_TAKEN, otherOwner + ": " + finding);
      runDeferredTasks();
    }
  }

  private void claim(String reason) {
    lookupRunning = false;
    otherOwner = "";
    if (releasing) {
      runDeferredTasks();
      return;
    }
    claimReason = reason;
    handle(new ShardEvent.Claim());
  }

  private void runDeferredTasks() {
    List<Runnable> tasks = List.copyOf(deferredTasks);
    deferredTasks.clear();
    tasks.forEach(Runnable::run);
  }

  // Actions of the state machine.

  private void perform(ShardAction action) {
    if (action instanceof ShardAction.ReadRecord) {
      handleStoreResult(store.read(shard));
    } else if (action instanceof ShardAction.WriteRecord write) {
      handleStoreResult(store.write(shard, write.expectedRevision(), write.record()));
    } else if (action instanceof ShardAction.WriteSegment write) {
      handleStoreResult(store.writeSegment(write.storeKey(), write.segment()));
    } else if (action instanceof ShardAction.AskStart ask) {
      withCall(ask.callNumber(), call -> call.requestStart(ask.epoch()));
    } else if (action instanceof ShardAction.Run run) {
      withCall(
          run.callNumber(),
          call -> {
            runningCallIds.add(call.callId());
            call.run();
          });
    } else if (action instanceof ShardAction.Reply reply) {
      NonIdempotentCall call = calls.remove(reply.callNumber());
      if (call != null) {
        call.reply(reply.verdict(), reply.output(), otherOwner, storeUnavailableSince != null);
      }
    } else if (action instanceof ShardAction.Settled settled) {
      SettleRequest request = settleRequests.remove(settled.settleNumber());
      if (request != null) {
        request.answer(settled.verdict(), settled.output(), otherOwner);
      }
    } else {
      handleOwnershipAction(action);
    }
  }

  private void handleOwnershipAction(ShardAction action) {
    if (action instanceof ShardAction.Acquired acquiredAction) {
      acquired = true;
      context
          .log()
          .event(AgentEvent.SHARD_TAKEN)
          .with("shard", shard)
          .with("epoch", acquiredAction.epoch())
          .with("ambiguous_ranges", acquiredAction.ambiguousRangeCount())
          .with("reason", claimReason)
          .write();
      if (releasing) {
        pendingEvents.add(new ShardEvent.Release());
      }
      context.loop().execute(this::runDeferredTasks);
    } else if (action instanceof ShardAction.Lost) {
      log(
          acquired ? AgentEvent.SHARD_LOST : AgentEvent.SHARD_NOT_TAKEN,
          storeUnavailableSince != null
              ? "the store does not answer"
              : "another process wrote the record");
      acquired = false;
      context.loop().execute(this::runDeferredTasks);
      notifyReleased();
    } else if (action instanceof ShardAction.Released) {
      if (acquired) {
        log(AgentEvent.SHARD_RELEASED, "the agent drains");
      }
      acquired = false;
      notifyReleased();
    }
  }

  private void notifyReleased() {
    if (releasing && !released) {
      released = true;
      releasedListener.run();
    }
  }

  private void handleStoreResult(CompletableFuture<ShardEvent> storeResult) {
    storeResult.whenComplete((event, failure) -> context.loop().execute(() -> handle(event)));
  }

  private void withCall(long callNumber, Consumer<NonIdempotentCall> callAction) {
    NonIdempotentCall call = calls.get(callNumber);
    if (call != null) {
      callAction.accept(call);
    }
  }

  private void log(AgentEvent event, String reason) {
    context.log().event(event).with("shard", shard).with("reason", reason).write();
  }
}
