package org.oriolewell.gateway;

import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.capacity.StreamPace;
import org.oriolewell.core.eligibility.EligibleUpstream;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.RequestKind;
import org.oriolewell.core.route.Route;
import org.oriolewell.core.stream.EventSplitter;
import org.oriolewell.gateway.RequestDialect.AnswerProperties;
import org.oriolewell.runtime.net.EventLoop;

/**
 * One attempt of a request at one upstream. It checks that the answer is complete and belongs to
 * the request, classifies failures and records the upstream's health. Used on the event loop only.
 */
final class UpstreamAttempt implements UpstreamListener {
  /** Health penalty for an upstream that refuses a request since it is full, not faulty. */
  private static final double FULL_FAILURE_WEIGHT = 0.3;

  /** Health penalty for an answer with a 5xx status. */
  private static final double ERROR_FAILURE_WEIGHT = 0.2;

  /** Health penalty for a missing, incomplete or invalid answer. */
  private static final double INCOMPLETE_FAILURE_WEIGHT = 0.5;

  /** Health penalty for a failed connection attempt, or an address that another upstream uses. */
  private static final double UNREACHABLE_FAILURE_WEIGHT = 1.0;

  /** Expected work of a request, as long as the size of requests isn't known. */
  private static final double USUAL_WORK = 1;

  private static final String EVENT_STREAM_TYPE = "text/event-stream";

  /** Receives the answer. Exactly one of the methods that end the attempt is called, once. */
  interface Listener {
    /** Called when a connection was opened for the attempt, which can still be canceled unsent. */
    void onConnected();

    /**
     * Called when the upstream has sent nothing for the inactivity limit.
     *
     * @return whether another attempt takes over, so that this one ends as incomplete; otherwise it
     *     goes on, since a slow answer is better than none
     */
    boolean mayReplaceSilentAttempt();

    /** Called when the request was queued for writing to the upstream. */
    void onSent(UpstreamInstance upstream);

    /** Called when the first part of an answer can be passed on to the caller. */
    void onFirstByte();

    /** Called before the first event of a stream that no earlier attempt has started. */
    void onStreamStart(int status, HttpFields headers);

    /** Called for each complete event of a stream, with the bytes of the event. */
    void onStreamContent(byte[] content);

    /** Ends the attempt: the stream is complete. */
    void onStreamComplete();

    /** Ends the attempt: a complete answer that is no stream was received. */
    void onAnswer(int status, HttpFields headers, byte[] body);

    /** Ends the attempt: no connection could be opened, so the request was not sent. */
    void onConnectFailed(UpstreamInstance upstream, String reason);

    /** Ends the attempt: the upstream answered that it did not execute the request. */
    void onNotExecuted(UpstreamInstance upstream, String reason);

    /** Ends the attempt: no complete answer was received; the request may have been executed. */
    void onIncomplete(UpstreamInstance upstream, String reason);

    /**
     * Called for a complete answer with a 5xx status, so that the listener can start another
     * attempt.
     *
     * @return true if another attempt was started; this one then ends without passing its answer on
     */
    boolean onServerError(int status);
  }

  private final GatewayComponents components;
  private final RequestGuard guard;
  private final Route route;
  private final String requestId;
  private final CrashSubjects subjects;
  private final EligibleUpstream target;
  private final UpstreamInstance upstream;
  private final Listener listener;
  private final EventSplitter eventSplitter = EventSplitter.create();
  private final AnswerBody body;
  private final AnswerStream answerStream;
  private final StreamPace streamPace;
  private UpstreamClient.@Nullable Call call;
  private EventLoop.@Nullable Timer inactivityTimer;
  private @Nullable Duration inactivityTimeout;
  private int status;
  private HttpFields headers = HttpFields.EMPTY;
  private AnswerProperties answerProperties = AnswerProperties.NONE;
  private boolean streaming;
  private boolean firstByteReported;
  private long firstByteAt;
  private boolean workAnswered;
  private boolean connectFailed;

  /** Whether the answer has neither a length nor chunks and ends with its connection. */
  private boolean endsAtClose;

  private boolean soundReported;
  private boolean attemptEnded;

  /**
   * Creates an attempt that has not been sent.
   *
   * @param guard runs the timers of the attempt and the callbacks that end it
   * @param subjects what the request has in common with others
   * @param answerStream stream to the caller, which this attempt continues if it has started
   */
  UpstreamAttempt(
      GatewayComponents components,
      RequestGuard guard,
      Route route,
      String requestId,
      CrashSubjects subjects,
      EligibleUpstream target,
      AnswerStream answerStream,
      Listener listener) {
    this.components = components;
    this.guard = guard;
    this.route = route;
    this.requestId = requestId;
    this.subjects = subjects;
    this.target = target;
    this.upstream = target.instance();
    this.answerStream = answerStream;
    this.listener = listener;
    this.streamPace = StreamPace.of(components.capacity(), upstream.id());
    this.body =
        AnswerBody.withLimit(components.maxAnswerBytes(), GatewaySettings.MAX_ANSWER_BYTES.key());
  }

  /**
   * Sends the request to the upstream.
   *
   * @param inactivityLimit time without data after which the attempt fails; null for no limit
   */
  void start(UpstreamRequest request, @Nullable Duration inactivityLimit) {
    inactivityTimeout = inactivityLimit;
    components.health().started(upstream.id());
    components.unansweredWork().sent(upstream.id(), USUAL_WORK);
    restartInactivityTimer();
    call = components.client().send(target, request, new GuardedListener(guard, this));
  }

  /** Returns the upstream of the attempt. */
  UpstreamInstance upstream() {
    return upstream;
  }

  /** Returns whether the upstream may have received the request. */
  boolean mayHaveBeenSent() {
    return !connectFailed;
  }

  /** Cancels the attempt; the listener isn't called any more. */
  void cancel() {
    if (!attemptEnded) {
      finish();
      UpstreamClient.Call clientCall = call;
      if (clientCall != null) {
        clientCall.cancel();
      }
    }
  }

  private void finish() {
    attemptEnded = true;
    stopInactivityTimer();
    components.health().ended(upstream.id());
    endUnansweredWork();
  }

  private void endUnansweredWork() {
    if (!workAnswered) {
      workAnswered = true;
      components.unansweredWork().answered(upstream.id(), USUAL_WORK);
    }
  }

  private void restartInactivityTimer() {
    stopInactivityTimer();
    Duration limit = inactivityTimeout;
    if (limit != null) {
      inactivityTimer = guard.after(limit, this::onInactive);
    }
  }

  private void stopInactivityTimer() {
    EventLoop.Timer timer = inactivityTimer;
    if (timer != null) {
      timer.cancel();
      inactivityTimer = null;
    }
  }

  private void onInactive() {
    if (attemptEnded) {
      return;
    }
    if (listener.mayReplaceSilentAttempt()) {
      endIncomplete(
          "silent for " + (inactivityTimeout == null ? 0 : inactivityTimeout.toMillis()) + " ms");
    } else {
      restartInactivityTimer();
    }
  }

  @Override
  public void onConnected() {
    if (!attemptEnded) {
      listener.onConnected();
    }
  }

  @Override
  public void onSent() {
    if (!attemptEnded) {
      listener.onSent(upstream);
    }
  }

  @Override
  public void onHead(int answerStatus, HttpFields answerHeaders) {
    if (attemptEnded) {
      return;
    }
    status = answerStatus;
    headers = answerHeaders;
    endsAtClose =
        !headers.contains(HttpHeader.CONTENT_LENGTH)
            && !headers.contains(HttpHeader.TRANSFER_ENCODING);
    answerProperties = components.dialect().checkAnswer(requestId, status, headers);
    components.upstreamLimits().stated(upstream, answerProperties.statement().limitPerSecond());
    components.upstreamStatements().stated(upstream, answerProperties.statement());
    String type = headers.get(HttpHeader.CONTENT_TYPE);
    streaming =
        route.kind() == RequestKind.STREAMING
            && status == 200
            && answerProperties.authentic()
            && type != null
            && type.startsWith(EVENT_STREAM_TYPE);
  }

  @Override
  public void onContent(byte[] content) throws AnswerTooLargeException {
    if (attemptEnded) {
      return;
    }
    if (!streaming) {
      body.append(content);
      return;
    }
    List<EventSplitter.Event> events = eventSplitter.add(content);
    streamPace.received(events.size(), components.loop().now());
    for (EventSplitter.Event event : events) {
      if (attemptEnded) {
        return;
      }
      restartInactivityTimer();
      forwardEvent(event);
    }
    if (eventSplitter.incompleteBytes() > components.maxAnswerBytes()) {
      throw new AnswerTooLargeException(
          "an event of the stream",
          components.maxAnswerBytes(),
          GatewaySettings.MAX_ANSWER_BYTES.key());
    }
  }

  @Override
  public long bufferedBytes() {
    return body.size() + eventSplitter.incompleteBytes();
  }

  private void forwardEvent(EventSplitter.Event event) {
    if (!answerStream.events().accepts(event.id())) {
      endIncomplete("event " + event.id() + " after event " + answerStream.events().lastId());
      return;
    }
    startStream();
    if (!soundReported && writingMillis() >= CrashGuard.SOUND_WRITING_TIME.toMillis()) {
      reportSound();
    }
    listener.onStreamContent(event.bytes());
    answerStream.events().forwarded(event.id());
  }

  private void startStream() {
    if (!firstByteReported) {
      firstByteReported = true;
      firstByteAt = components.loop().now();
      endUnansweredWork();
      listener.onFirstByte();
    }
    if (!answerStream.started()) {
      answerStream.markStarted();
      listener.onStreamStart(status, EndToEndHeaders.of(headers));
    }
  }

  private void reportSound() {
    soundReported = true;
    components.crashGuard().answered(subjects);
  }

  private void reportConnectionLost() {
    if (!soundReported) {
      components.crashGuard().connectionLost(upstream, requestId, subjects);
    }
  }

  @Override
  public void onComplete() {
    if (attemptEnded) {
      return;
    }
    if (endsAtClose && !subjects.promptParts().isEmpty() && listed()) {
      // The end of such an answer looks the same as that of an engine that crashes.
      stopInactivityTimer();
      components
          .client()
          .checkAccepting(
              UpstreamClient.poolKey(upstream),
              upstream.address(),
              guard.receiver(this::endUnframedAnswer));
    } else {
      endAnswer();
    }
  }

  private boolean listed() {
    return components.control().roster().usable(upstream.service()).contains(upstream);
  }

  private void endUnframedAnswer(boolean engineAccepting) {
    if (attemptEnded) {
      return;
    }
    if (engineAccepting) {
      endAnswer();
    } else {
      reportConnectionLost();
      endIncomplete("the engine ended together with an answer that has no length");
    }
  }

  private void endAnswer() {
    if (streaming) {
      if (eventSplitter.midEvent()) {
        reportConnectionLost();
        endIncomplete("the stream ended in the middle of an event");
        return;
      }
      if (endsAtClose && !firstByteReported) {
        reportConnectionLost();
        endIncomplete("the stream ended before its first event");
        return;
      }
      if (answerStream.started() && !firstByteReported) {
        // Without an event it can't be told whether the upstream has continued this stream.
        endIncomplete("the rest of the stream has no event");
        return;
      }
      startStream();
      finish();
      reportSound();
      components.health().succeeded(upstream.id(), components.loop().now());
      listener.onStreamComplete();
      return;
    }
    if (answerProperties.notExecuted() || answerProperties.misdirected()) {
      endNotExecuted();
    } else if (!answerProperties.authentic()) {
      endIncomplete("status " + status + " without the upstream's seal or the request's id");
    } else if (answerStream.started()) {
      endIncomplete("status " + status + " instead of the rest of the stream");
    } else {
      endAnswered();
    }
  }

  private void endNotExecuted() {
    finish();
    String reason = "status " + status + ", not executed";
    long now = components.loop().now();
    components
        .health()
        .failed(
            upstream.id(),
            answerProperties.misdirected() ? UNREACHABLE_FAILURE_WEIGHT : FULL_FAILURE_WEIGHT,
            now);
    logFailure(reason);
    listener.onNotExecuted(upstream, reason);
  }

  private void endAnswered() {
    finish();
    long now = components.loop().now();
    if (status >= 500) {
      components.health().failed(upstream.id(), ERROR_FAILURE_WEIGHT, now);
      logFailure("status " + status);
      if (listener.onServerError(status)) {
        return;
      }
    } else {
      components.health().succeeded(upstream.id(), now);
      reportSound();
    }
    listener.onFirstByte();
    listener.onAnswer(status, EndToEndHeaders.of(headers), body.toByteArray());
  }

  @Override
  public void onFailure(boolean mayHaveBeenSent, Throwable cause) {
    if (attemptEnded) {
      return;
    }
    if (mayHaveBeenSent) {
      reportConnectionLost();
      endIncomplete(cause.toString());
      return;
    }
    connectFailed = true;
    finish();
    components.health().failed(upstream.id(), UNREACHABLE_FAILURE_WEIGHT, components.loop().now());
    logFailure(cause.toString());
    listener.onConnectFailed(upstream, "the connection to " + upstream.id() + " failed");
  }

  private void endIncomplete(String reason) {
    UpstreamClient.Call clientCall = call;
    finish();
    if (clientCall != null) {
      clientCall.cancel();
    }
    components.health().failed(upstream.id(), INCOMPLETE_FAILURE_WEIGHT, components.loop().now());
    logFailure(reason);
    listener.onIncomplete(upstream, reason);
  }

  private long writingMillis() {
    return GatewayComponents.millisBetween(firstByteAt, components.loop().now());
  }

  private void logFailure(String reason) {
    components
        .log()
        .event(GatewayEvent.UPSTREAM_FAILED)
        .with("request", requestId)
        .with("upstream", upstream.id())
        .with("reason", reason)
        .with("writing_ms", firstByteReported ? writingMillis() : null)
        .write();
  }
}
