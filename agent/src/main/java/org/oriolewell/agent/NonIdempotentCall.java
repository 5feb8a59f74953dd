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
 * A call that may run at most once for its key. Its shard decides whether it runs. Once it is at
 * the upstream it goes on there whatever the dialer does, and its outcome is recorded.
 */
final class NonIdempotentCall implements ActiveCall, Admission.Ticket, Upstream.Sink {
  private enum State {
    /** It waits for admission. */
    QUEUED,
    /** It is with its shard and has not run. */
    WITH_SHARD,
    /** It is at the upstream. */
    RUNNING,
    /** It is neither waiting nor running. */
    ENDED
  }

  private final AgentContext context;
  private final Dialer dialer;
  private final UpstreamCall call;
  private final long number;
  private final CallId id;
  private final IdempotencyKey key;
  private final ShardHost shard;
  private State state = State.QUEUED;
  private boolean replied;
  private boolean asked;
  private boolean admitted;
  private Instant startedAt = Instant.MIN;
  private Refusal abandonment = Refusal.notRun(RefusalKind.CANCELED, "");
  private @Nullable UpstreamFailure failure;
  private Loop.@Nullable Timer timer;

  NonIdempotentCall(
      AgentContext context,
      Dialer dialer,
      UpstreamCall call,
      long number,
      CallId id,
      IdempotencyKey key,
      ShardHost shard) {
    this.context = context;
    this.dialer = dialer;
    this.call = call;
    this.number = number;
    this.id = id;
    this.key = key;
    this.shard = shard;
  }

  long number() {
    return number;
  }

  CallId id() {
    return id;
  }

  ShardEvent arrival() {
    return new ShardEvent.Arrived(number, id, key.issuedMillis(), call.message().fingerprint());
  }

  @Override
  public Message.Call call() {
    return call.message();
  }

  @Override
  public void start() {
    timer =
        context
            .loop()
            .after(
                Duration.ofMillis(call.message().remainingMillis()),
                () ->
                    abandon(
                        RefusalKind.DEADLINE_EXCEEDED,
                        "the remaining time of "
                            + call.message().remainingMillis()
                            + " ms ran out"));
    context.admission().offer(this);
  }

  @Override
  public void admitted() {
    admitted = true;
    state = State.WITH_SHARD;
    shard.arrived(this);
  }

  @Override
  public void refused(RefusalKind kind, String detail, Duration retryAfter) {
    state = State.ENDED;
    refuse(new Refusal(kind, Outcome.NOT_RUN, detail, retryAfter));
  }

  /** Asks the dialer for permission to run. */
  void askStart(long epoch) {
    asked = true;
    dialer.send(new Message.Start(call.message().stream(), epoch));
  }

  @Override
  public void granted() {
    if (state == State.WITH_SHARD) {
      shard.on(new ShardEvent.Granted(number));
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
  public void credit(int frames) {}

  /** Refuses the call if it could only wait for a store that does not answer. */
  void storeIsAway() {
    if (state == State.WITH_SHARD && !asked && !shard.isRunning(this)) {
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
        abandonment = Refusal.notRun(kind, detail);
        boolean joined = shard.leave(this);
        leaveAdmission(Ending.CANCELED);
        state = State.ENDED;
        refuse(joined ? Refusal.unknown(kind, detail) : abandonment);
      }
      case RUNNING -> refuse(Refusal.unknown(kind, detail + "; the call goes on at the upstream"));
      default -> {}
    }
  }

  /** Runs the call at the upstream. */
  void run() {
    state = State.RUNNING;
    startedAt = context.clock().instant();
    context.upstream().run(call, this);
  }

  @Override
  public void tokens(long position, List<String> items) {
    throw new IllegalStateException("a non-idempotent call has no tokens");
  }

  @Override
  public void answered(byte[] output, long count) {
    context.loop().execute(() -> onFinished(CallRecord.State.ANSWERED, output, null));
  }

  @Override
  public void failed(UpstreamFailure cause) {
    CallRecord.State end =
        cause.outcome() == Outcome.NOT_RUN ? CallRecord.State.NOT_RUN : CallRecord.State.UNKNOWN;
    context.loop().execute(() -> onFinished(end, null, cause));
  }

  private void onFinished(
      CallRecord.State end, byte @Nullable [] output, @Nullable UpstreamFailure cause) {
    if (state != State.RUNNING) {
      return;
    }
    state = State.ENDED;
    failure = cause;
    context.metrics().upstreamTime(Duration.between(startedAt, context.clock().instant()));
    shard.finished(this, new ShardEvent.Finished(number, end, output));
    leaveAdmission(cause == null ? Ending.ANSWERED : Ending.FAILED);
    dialer.callEnded();
  }

  /** Takes the shard's verdict. */
  void reply(Verdict verdict, byte @Nullable [] output, String otherOwner, boolean storeAway) {
    if (state == State.WITH_SHARD) {
      state = State.ENDED;
      leaveAdmission(Ending.CANCELED);
    }
    if (verdict == Verdict.ANSWERED && output != null) {
      if (end()) {
        dialer.answer(call.message(), output, 0);
      }
    } else if (verdict == Verdict.DENIED) {
      refuse(abandonment);
    } else {
      refuse(Verdicts.refusal(verdict, failure, otherOwner, storeAway));
    }
  }

  private void leaveAdmission(Ending ending) {
    if (admitted) {
      admitted = false;
      context.admission().finished(this, ending);
    }
  }

  private void refuse(Refusal refusal) {
    if (end()) {
      dialer.refuse(call.message(), refusal);
    }
  }

  private boolean end() {
    if (replied) {
      return false;
    }
    replied = true;
    if (timer != null) {
      timer.cancel();
    }
    return true;
  }
}
