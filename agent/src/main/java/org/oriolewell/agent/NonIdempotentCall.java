package org.oriolewell.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.admission.Ending;
import org.oriolewell.core.call.CallId;
import org.oriolewell.core.call.CallRecord;
import org.oriolewell.core.call.IdempotencyKey;
import org.oriolewell.core.call.ShardAction.Verdict;
import org.oriolewell.core.call.ShardEvent;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.Outcome;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/**
 * A call that may run at most once for its idempotency key. The shard of the key decides whether it
 * runs. Once the call is at the upstream, it continues even if the dialer cancels it or
 * disconnects, and its outcome is recorded.
 */
final class NonIdempotentCall implements ActiveCall, Admission.Ticket, Upstream.AnswerSink {
  private enum State {
    /** The call waits for admission. */
    QUEUED,
    /** The call was admitted and waits for the shard's decision; it has not run. */
    WITH_SHARD,
    /** The call is at the upstream. */
    RUNNING,
    /** The call neither waits nor runs. */
    ENDED
  }

  private final AgentContext context;
  private final Dialer dialer;
  private final UpstreamCall upstreamCall;
  private final long callNumber;
  private final CallId callId;
  private final IdempotencyKey idempotencyKey;
  private final ShardController shardController;
  private State state = State.QUEUED;
  private boolean replied;
  private boolean startRequested;
  private boolean admitted;
  private Instant upstreamStartedAt = Instant.MIN;
  private Refusal withdrawalRefusal = Refusal.notRun(RefusalKind.CANCELED, "");
  private @Nullable UpstreamFailure upstreamFailure;
  private Loop.@Nullable Timer deadlineTimer;

  NonIdempotentCall(
      AgentContext context,
      Dialer dialer,
      UpstreamCall upstreamCall,
      long callNumber,
      CallId callId,
      IdempotencyKey idempotencyKey,
      ShardController shardController) {
    this.context = context;
    this.dialer = dialer;
    this.upstreamCall = upstreamCall;
    this.callNumber = callNumber;
    this.callId = callId;
    this.idempotencyKey = idempotencyKey;
    this.shardController = shardController;
  }

  long callNumber() {
    return callNumber;
  }

  CallId callId() {
    return callId;
  }

  ShardEvent arrivalEvent() {
    return new ShardEvent.Arrived(
        callNumber, callId, idempotencyKey.issuedMillis(), upstreamCall.message().fingerprint());
  }

  @Override
  public Message.Call call() {
    return upstreamCall.message();
  }

  @Override
  public void start() {
    deadlineTimer =
        context
            .loop()
            .runAfter(
                Duration.ofMillis(upstreamCall.message().remainingMillis()),
                () ->
                    abandon(
                        RefusalKind.DEADLINE_EXCEEDED,
                        "the remaining time of "
                            + upstreamCall.message().remainingMillis()
                            + " ms ran out"));
    context.admission().offer(this);
  }

  @Override
  public void admitted() {
    admitted = true;
    state = State.WITH_SHARD;
    shardController.submit(this);
  }

  @Override
  public void refused(RefusalKind kind, String detail, Duration retryAfter) {
    state = State.ENDED;
    refuse(new Refusal(kind, Outcome.NOT_RUN, detail, retryAfter));
  }

  /** Asks the dialer for permission to run the call at an epoch of the shard. */
  void requestStart(long epoch) {
    startRequested = true;
    dialer.send(new Message.Start(upstreamCall.message().stream(), epoch));
  }

  @Override
  public void granted() {
    if (state == State.WITH_SHARD) {
      shardController.handle(new ShardEvent.Granted(callNumber));
    }
  }

  @Override
  public void denied() {
    abandon(RefusalKind.CANCELED, "the dialer denied the call");
  }

  @Override
  public void cancel() {
    abandon(RefusalKind.CANCELED, "the dialer canceled the call");
  }

  @Override
  public void addCredits(int frames) {}

  /**
   * Called when the store has not answered for some time. Refuses the call if it waits for an
   * extension of the execution window, which the store would have to record.
   */
  void onStoreUnavailable() {
    if (state == State.WITH_SHARD && !startRequested && !shardController.isKeyRunning(this)) {
      abandon(
          RefusalKind.STORE_UNAVAILABLE,
          "the execution window cannot be extended, as the key-value service does not answer");
    }
  }

  private void abandon(RefusalKind kind, String detail) {
    switch (state) {
      case QUEUED -> {
        context.admission().withdraw(this);
        state = State.ENDED;
        refuse(Refusal.notRun(kind, detail));
      }
      case WITH_SHARD -> {
        withdrawalRefusal = Refusal.notRun(kind, detail);
        boolean sharesRunningCall = shardController.withdraw(this);
        releaseSlot(Ending.CANCELED);
        state = State.ENDED;
        refuse(sharesRunningCall ? Refusal.unknown(kind, detail) : withdrawalRefusal);
      }
      case RUNNING -> refuse(Refusal.unknown(kind, detail + "; the call goes on at the upstream"));
      default -> {}
    }
  }

  /** Sends the call to the upstream. */
  void run() {
    state = State.RUNNING;
    upstreamStartedAt = context.clock().instant();
    context.upstream().run(upstreamCall, this);
  }

  @Override
  public void tokens(long firstPosition, List<String> tokens) {
    throw new IllegalStateException("a non-idempotent call has no tokens");
  }

  @Override
  public void answered(byte[] output, long tokenCount) {
    context.loop().execute(() -> onUpstreamEnded(CallRecord.State.ANSWERED, output, null));
  }

  @Override
  public void failed(UpstreamFailure reportedFailure) {
    CallRecord.State endState =
        reportedFailure.outcome() == Outcome.NOT_RUN
            ? CallRecord.State.NOT_RUN
            : CallRecord.State.UNKNOWN;
    context.loop().execute(() -> onUpstreamEnded(endState, null, reportedFailure));
  }

  private void onUpstreamEnded(
      CallRecord.State endState,
      byte @Nullable [] output,
      @Nullable UpstreamFailure reportedFailure) {
    if (state != State.RUNNING) {
      return;
    }
    state = State.ENDED;
    upstreamFailure = reportedFailure;
    context
        .metrics()
        .upstreamCallEnded(Duration.between(upstreamStartedAt, context.clock().instant()));
    shardController.callFinished(this, new ShardEvent.Finished(callNumber, endState, output));
    releaseSlot(reportedFailure == null ? Ending.ANSWERED : Ending.FAILED);
    dialer.callEnded();
  }

  /**
   * Answers or refuses the call according to the shard's verdict.
   *
   * @param output output of an answered call; null otherwise
   * @param otherOwner process id and address of the shard's owner; empty if it isn't known
   * @param storeUnavailable whether the key-value service does not answer
   */
  void reply(
      Verdict verdict, byte @Nullable [] output, String otherOwner, boolean storeUnavailable) {
    if (state == State.WITH_SHARD) {
      state = State.ENDED;
      releaseSlot(Ending.CANCELED);
    }
    if (verdict == Verdict.ANSWERED && output != null) {
      if (markReplied()) {
        dialer.answer(upstreamCall.message(), output, 0);
      }
    } else if (verdict == Verdict.DENIED) {
      refuse(withdrawalRefusal);
    } else {
      refuse(Verdicts.refusal(verdict, upstreamFailure, otherOwner, storeUnavailable));
    }
  }

  private void releaseSlot(Ending ending) {
    if (admitted) {
      admitted = false;
      context.admission().finished(this, ending);
    }
  }

  private void refuse(Refusal refusal) {
    if (markReplied()) {
      dialer.refuse(upstreamCall.message(), refusal);
    }
  }

  private boolean markReplied() {
    if (replied) {
      return false;
    }
    replied = true;
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    return true;
  }
}
