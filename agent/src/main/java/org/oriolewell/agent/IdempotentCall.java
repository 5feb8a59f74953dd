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
 * A call that may run more than once. It is canceled at the upstream as soon as the dialer no
 * longer wants the answer.
 *
 * <p>Each TOKENS frame uses one credit of the dialer. Without credits, tokens are kept here up to a
 * limit, beyond which no more are read from the engine, so that a slow dialer slows only its own
 * stream.
 */
final class IdempotentCall implements ActiveCall, Admission.Ticket, Upstream.AnswerSink {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_UNSENT_TOKENS = 1024;

  private enum State {
    /** The call waits for admission. */
    WAITING,
    /** The call is at the upstream. */
    RUNNING,
    /** The upstream has answered; tokens wait for credits. */
    FLUSHING,
    /** The dialer was answered or refused. */
    ENDED
  }

  private final AgentContext context;
  private final Dialer dialer;
  private final UpstreamCall upstreamCall;
  private final TokenQueue unsentTokens;
  private final List<String> collectedTokens = new ArrayList<>();
  private State state = State.WAITING;
  private int credits;
  private boolean readingPaused;
  private long answerTokenCount;
  private Instant upstreamStartedAt = Instant.MIN;
  private Upstream.@Nullable RunningCall runningCall;
  private Loop.@Nullable Timer deadlineTimer;

  IdempotentCall(AgentContext context, Dialer dialer, UpstreamCall upstreamCall) {
    this.context = context;
    this.dialer = dialer;
    this.upstreamCall = upstreamCall;
    this.credits = upstreamCall.message().credits();
    this.unsentTokens =
        TokenQueue.startingAt(upstreamCall.message().resumeFrom(), context.maxFrameBytes());
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
                Duration.ofMillis(upstreamCall.message().remainingMillis()), this::onDeadline);
    context.admission().offer(this);
  }

  @Override
  public void admitted() {
    if (state != State.WAITING) {
      throw new IllegalStateException("a call was admitted in state " + state);
    }
    state = State.RUNNING;
    upstreamStartedAt = context.clock().instant();
    runningCall = context.upstream().run(upstreamCall, this);
  }

  @Override
  public void refused(RefusalKind kind, String detail, Duration retryAfter) {
    refuse(new Refusal(kind, Message.Outcome.NOT_RUN, detail, retryAfter));
  }

  @Override
  public void tokens(long firstPosition, List<String> tokens) {
    context.loop().execute(() -> onTokens(tokens));
  }

  @Override
  public void answered(byte[] output, long tokenCount) {
    context.loop().execute(() -> onAnswered(output, tokenCount));
  }

  @Override
  public void failed(UpstreamFailure failure) {
    context.loop().execute(() -> onFailed(failure));
  }

  private void onTokens(List<String> tokens) {
    if (state != State.RUNNING) {
      return;
    }
    context.metrics().addTokens(tokens.size());
    if (upstreamCall.message().streaming()) {
      unsentTokens.add(tokens);
      readingPaused = true;
      sendTokens();
    } else {
      collectedTokens.addAll(tokens);
      requestMore();
    }
  }

  private void sendTokens() {
    while (credits > 0 && !unsentTokens.isEmpty()) {
      credits--;
      dialer.send(unsentTokens.nextFrame(upstreamCall.message().stream()));
    }
    if (state == State.FLUSHING && unsentTokens.isEmpty()) {
      answer(new byte[0]);
    } else if (readingPaused && unsentTokens.size() < MAX_UNSENT_TOKENS) {
      readingPaused = false;
      requestMore();
    }
  }

  private void requestMore() {
    if (runningCall != null) {
      runningCall.requestMore();
    }
  }

  private void onAnswered(byte[] output, long receivedTokens) {
    if (state != State.RUNNING) {
      return;
    }
    endUpstreamCall(Ending.ANSWERED);
    answerTokenCount = receivedTokens;
    if (output.length > 0) {
      answer(output);
    } else if (upstreamCall.message().streaming()) {
      state = State.FLUSHING;
      sendTokens();
    } else {
      answerWithText();
    }
  }

  private void answerWithText() {
    byte[] output;
    try {
      output =
          JSON.writeValueAsBytes(
              Map.of("text", String.join("", collectedTokens), "tokens", answerTokenCount));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an output cannot be written", e);
    }
    if (output.length > context.maxFrameBytes() - Dialer.FRAME_OVERHEAD_BYTES) {
      refuse(
          Refusal.unknown(
              RefusalKind.UPSTREAM_FAILED,
              "the answer exceeds the frame limit; stream it or raise wire.max_frame_bytes"));
    } else {
      answer(output);
    }
  }

  private void answer(byte[] output) {
    if (markEnded()) {
      dialer.answer(upstreamCall.message(), output, answerTokenCount);
    }
  }

  private void onFailed(UpstreamFailure failure) {
    if (state == State.RUNNING) {
      endUpstreamCall(Ending.FAILED);
      refuse(Refusal.of(failure));
    }
  }

  private void endUpstreamCall(Ending ending) {
    context
        .metrics()
        .upstreamCallEnded(Duration.between(upstreamStartedAt, context.clock().instant()));
    context.admission().finished(this, ending);
  }

  private void onDeadline() {
    abandon(
        RefusalKind.DEADLINE_EXCEEDED,
        "the remaining time of " + upstreamCall.message().remainingMillis() + " ms ran out");
  }

  @Override
  public void cancel() {
    abandon(RefusalKind.CANCELED, "the dialer canceled the call");
  }

  private void abandon(RefusalKind kind, String detail) {
    switch (state) {
      case WAITING -> {
        context.admission().withdraw(this);
        refuse(Refusal.notRun(kind, detail));
      }
      case RUNNING -> {
        if (runningCall != null) {
          runningCall.cancel();
        }
        endUpstreamCall(kind == RefusalKind.DEADLINE_EXCEEDED ? Ending.TIMED_OUT : Ending.CANCELED);
        refuse(Refusal.unknown(kind, detail));
      }
      case FLUSHING -> refuse(Refusal.unknown(kind, detail));
      default -> {}
    }
  }

  private void refuse(Refusal refusal) {
    if (markEnded()) {
      dialer.refuse(upstreamCall.message(), refusal);
    }
  }

  private boolean markEnded() {
    if (state == State.ENDED) {
      return false;
    }
    state = State.ENDED;
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    return true;
  }

  @Override
  public void addCredits(int frames) {
    credits = (int) Math.min(Integer.MAX_VALUE, (long) credits + frames);
    sendTokens();
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
