package org.oriolewell.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.admission.Ending;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/**
 * A call that may run more than once. Its work ends as soon as nobody wants the answer.
 *
 * <p>Tokens are sent while there are credits. Without credits they wait here up to a bound, beyond
 * which the engine's connection isn't read, so that a slow dialer slows its own stream only.
 */
final class IdempotentCall implements ActiveCall, Admission.Ticket, Upstream.Sink {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_WAITING_TOKENS = 1024;

  private enum State {
    WAITING,
    RUNNING,
    FLUSHING,
    ENDED
  }

  private final AgentContext context;
  private final Dialer dialer;
  private final UpstreamCall call;
  private final TokenQueue waiting;
  private final List<String> collected = new ArrayList<>();
  private State state = State.WAITING;
  private int credits;
  private boolean partWithheld;
  private long count;
  private Instant startedAt = Instant.MIN;
  private Upstream.@Nullable Running running;
  private Loop.@Nullable Timer timer;

  IdempotentCall(AgentContext context, Dialer dialer, UpstreamCall call) {
    this.context = context;
    this.dialer = dialer;
    this.call = call;
    this.credits = call.message().credits();
    this.waiting = TokenQueue.from(call.message().resumeFrom(), context.maxFrameBytes());
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
            .after(Duration.ofMillis(call.message().remainingMillis()), this::deadlinePassed);
    context.admission().offer(this);
  }

  @Override
  public void admitted() {
    if (state != State.WAITING) {
      throw new IllegalStateException("a call was admitted in state " + state);
    }
    state = State.RUNNING;
    startedAt = context.clock().instant();
    running = context.upstream().run(call, this);
  }

  @Override
  public void refused(RefusalKind kind, String detail, Duration retryAfter) {
    finish(new Refusal(kind, Message.Outcome.NOT_RUN, detail, retryAfter));
  }

  @Override
  public void tokens(long position, List<String> items) {
    context.loop().execute(() -> onTokens(items));
  }

  @Override
  public void answered(byte[] output, long tokens) {
    context.loop().execute(() -> onAnswered(output, tokens));
  }

  @Override
  public void failed(UpstreamFailure failure) {
    context.loop().execute(() -> onFailed(failure));
  }

  private void onTokens(List<String> items) {
    if (state != State.RUNNING) {
      return;
    }
    context.metrics().tokens(items.size());
    if (call.message().streaming()) {
      waiting.add(items);
      partWithheld = true;
      flush();
    } else {
      collected.addAll(items);
      next();
    }
  }

  private void flush() {
    while (credits > 0 && !waiting.isEmpty()) {
      credits--;
      dialer.send(waiting.nextFrame(call.message().stream()));
    }
    if (state == State.FLUSHING && waiting.isEmpty()) {
      succeed(new byte[0]);
    } else if (partWithheld && waiting.size() < MAX_WAITING_TOKENS) {
      partWithheld = false;
      next();
    }
  }

  private void next() {
    if (running != null) {
      running.more();
    }
  }

  private void onAnswered(byte[] output, long tokens) {
    if (state != State.RUNNING) {
      return;
    }
    leaveUpstream(Ending.ANSWERED);
    count = tokens;
    if (output.length > 0) {
      succeed(output);
    } else if (call.message().streaming()) {
      state = State.FLUSHING;
      flush();
    } else {
      succeedWithText();
    }
  }

  private void succeedWithText() {
    byte[] output;
    try {
      output = JSON.writeValueAsBytes(Map.of("text", String.join("", collected), "tokens", count));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an output cannot be written", e);
    }
    if (output.length > context.maxFrameBytes() - Dialer.FRAME_OVERHEAD) {
      finish(
          Refusal.unknown(
              RefusalKind.UPSTREAM_FAILED,
              "the answer exceeds the frame limit; stream it or raise wire.max_frame_bytes"));
    } else {
      succeed(output);
    }
  }

  private void succeed(byte[] output) {
    if (end()) {
      dialer.answer(call.message(), output, count);
    }
  }

  private void onFailed(UpstreamFailure failure) {
    if (state == State.RUNNING) {
      leaveUpstream(Ending.FAILED);
      finish(Refusal.of(failure));
    }
  }

  private void leaveUpstream(Ending ending) {
    context.metrics().upstreamTime(Duration.between(startedAt, context.clock().instant()));
    context.admission().finished(this, ending);
  }

  private void deadlinePassed() {
    abandon(
        RefusalKind.DEADLINE_EXCEEDED,
        "the remaining time of " + call.message().remainingMillis() + " ms ran out");
  }

  @Override
  public void cancel() {
    abandon(RefusalKind.CANCELED, "the dialer canceled the call");
  }

  private void abandon(RefusalKind kind, String detail) {
    switch (state) {
      case WAITING -> {
        context.admission().withdraw(this);
        finish(Refusal.notRun(kind, detail));
      }
      case RUNNING -> {
        if (running != null) {
          running.cancel();
        }
        leaveUpstream(kind == RefusalKind.DEADLINE_EXCEEDED ? Ending.TIMED_OUT : Ending.CANCELED);
        finish(Refusal.unknown(kind, detail));
      }
      case FLUSHING -> finish(Refusal.unknown(kind, detail));
      default -> {}
    }
  }

  private void finish(Refusal refusal) {
    if (end()) {
      dialer.refuse(call.message(), refusal);
    }
  }

  private boolean end() {
    if (state == State.ENDED) {
      return false;
    }
    state = State.ENDED;
    if (timer != null) {
      timer.cancel();
    }
    return true;
  }

  @Override
  public void credit(int frames) {
    credits = (int) Math.min(Integer.MAX_VALUE, (long) credits + frames);
    flush();
  }

  @Override
  public void granted() {
    throw new IllegalStateException("no permission was asked for");
  }

  @Override
  public void denied() {
    throw new IllegalStateException("no permission was asked for");
  }
}
