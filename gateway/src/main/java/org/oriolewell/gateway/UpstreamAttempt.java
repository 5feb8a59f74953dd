package org.oriolewell.gateway;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.RequestKind;
import org.oriolewell.core.route.Route;
import org.oriolewell.core.stream.EventSplitter;
import org.oriolewell.gateway.RequestDialect.AnswerProperties;
import org.oriolewell.runtime.net.EventLoop;

/**
 * One attempt of a request at one upstream. It checks that the answer is whole and belongs to the
 * request, and says what a failure means. Used on the event loop only.
 */
final class UpstreamAttempt implements UpstreamListener {
  /** Weight of a refusal of a full upstream; it is busy, not out of order. */
  private static final double FULL_WEIGHT = 0.3;

  /** Weight of an answer that the upstream failed itself. */
  private static final double ERROR_WEIGHT = 0.2;

  /** Weight of silence, a broken connection or bytes that are no answer. */
  private static final double BROKEN_WEIGHT = 0.5;

  /** Weight of a connection that can't be opened. */
  private static final double UNREACHABLE_WEIGHT = 1.0;

  private static final String EVENT_STREAM = "text/event-stream";

  /** Receives the outcome. One of the methods that end the attempt is called, once. */
  interface Listener {
    /** Called when the request is on its way to the upstream. */
    void onSent(UpstreamInstance upstream);

    /** Called at the first byte of a good answer. */
    void onFirstByte();

    /** Called before the first event of a stream. */
    void onStream(AnswerStream stream);

    /** Called for each whole event of a stream. */
    void onStreamContent(byte[] content);

    /** Ends the attempt: the stream is whole. */
    void onStreamComplete();

    /** Ends the attempt: there is a whole answer. */
    void onAnswer(int status, HttpFields headers, byte[] body);

    /** Ends the attempt: the request was not sent. */
    void onOpenFailed(UpstreamInstance upstream, String reason);

    /** Ends the attempt: the upstream says that the request did not run. */
    void onNotExecuted(UpstreamInstance upstream, String reason);

    /** Ends the attempt: the request may have run and there is no whole answer. */
    void onBroken(UpstreamInstance upstream, String reason);

    /**
     * Asks whether an upstream's own failure is not passed on since another attempt was begun.
     *
     * @return true if this attempt is ended thereby
     */
    boolean onServerError(int status);
  }

  private final Services services;
  private final Route route;
  private final String requestId;
  private final UpstreamInstance upstream;
  private final Listener listener;
  private final EventSplitter splitter = EventSplitter.create();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable AnswerStream stream;
  private UpstreamClient.@Nullable Call call;
  private EventLoop.@Nullable Timer silence;
  private @Nullable Duration patience;
  private int status;
  private HttpFields headers = HttpFields.EMPTY;
  private AnswerProperties answerProperties = new AnswerProperties(false, false, false);
  private boolean streaming;
  private boolean firstByte;
  private boolean failedToOpen;
  private boolean ended;

  /**
   * Creates an attempt.
   *
   * @param stream stream that goes on with this attempt; null if none was begun
   */
  UpstreamAttempt(
      Services services,
      Route route,
      String requestId,
      UpstreamInstance upstream,
      @Nullable AnswerStream stream,
      Listener listener) {
    this.services = services;
    this.route = route;
    this.requestId = requestId;
    this.upstream = upstream;
    this.stream = stream;
    this.listener = listener;
  }

  /**
   * Sends the request.
   *
   * @param silenceLimit silence after which the attempt is broken off; null for no limit
   */
  void start(UpstreamRequest request, @Nullable Duration silenceLimit) {
    patience = silenceLimit;
    services.health().started(upstream.id());
    restartSilence();
    call =
        services
            .client()
            .send(
                upstream.id() + "/" + upstream.startedMillis(), upstream.address(), request, this);
  }

  /** Returns whether the upstream may have received the request. */
  boolean maySent() {
    return !failedToOpen;
  }

  /** Breaks the attempt off; the listener hears nothing more. */
  void cancel() {
    if (!ended) {
      finish();
      UpstreamClient.Call running = call;
      if (running != null) {
        running.cancel();
      }
    }
  }

  private void finish() {
    ended = true;
    stopSilence();
    services.health().ended(upstream.id());
  }

  private void restartSilence() {
    stopSilence();
    Duration limit = patience;
    if (limit != null) {
      silence = services.loop().after(limit, this::silent);
    }
  }

  private void stopSilence() {
    EventLoop.Timer timer = silence;
    if (timer != null) {
      timer.cancel();
      silence = null;
    }
  }

  private void silent() {
    if (!ended) {
      broken("silent for " + (patience == null ? 0 : patience.toMillis()) + " ms");
    }
  }

  @Override
  public void onSent() {
    if (!ended) {
      listener.onSent(upstream);
    }
  }

  @Override
  public void onHead(int answerStatus, HttpFields answerHeaders) {
    if (ended) {
      return;
    }
    status = answerStatus;
    headers = answerHeaders;
    answerProperties = services.dialect().checkAnswer(requestId, status, headers);
    String type = headers.get(HttpHeader.CONTENT_TYPE);
    streaming =
        route.kind() == RequestKind.STREAMING
            && status == 200
            && answerProperties.authentic()
            && type != null
            && type.startsWith(EVENT_STREAM);
  }

  @Override
  public void onContent(byte[] content) {
    if (ended) {
      return;
    }
    if (!streaming) {
      body.writeBytes(content);
      return;
    }
    for (EventSplitter.Event event : splitter.add(content)) {
      restartSilence();
      pass(event);
    }
  }

  private void pass(EventSplitter.Event event) {
    AnswerStream current = begunStream();
    listener.onStreamContent(event.bytes());
    current.passed(event.id());
  }

  private AnswerStream begunStream() {
    if (!firstByte) {
      firstByte = true;
      listener.onFirstByte();
    }
    AnswerStream current = stream;
    if (current == null) {
      current = AnswerStream.of(status, EndToEndHeaders.of(headers));
      stream = current;
      listener.onStream(current);
    }
    return current;
  }

  @Override
  public void onComplete() {
    if (ended) {
      return;
    }
    if (streaming) {
      if (splitter.midEvent()) {
        broken("the stream ended in the middle of an event");
        return;
      }
      begunStream();
      finish();
      services.health().succeeded(upstream.id(), services.loop().now());
      listener.onStreamComplete();
      return;
    }
    if (answerProperties.notExecuted() || answerProperties.misdirected()) {
      notExecuted();
    } else if (!answerProperties.authentic()) {
      broken("status " + status + " without the upstream's seal or the request's id");
    } else {
      answered();
    }
  }

  private void notExecuted() {
    finish();
    String reason = "status " + status + ", not executed";
    long now = services.loop().now();
    services
        .health()
        .failed(
            upstream.id(), answerProperties.misdirected() ? UNREACHABLE_WEIGHT : FULL_WEIGHT, now);
    logFailure(reason);
    listener.onNotExecuted(upstream, reason);
  }

  private void answered() {
    finish();
    long now = services.loop().now();
    if (status >= 500) {
      services.health().failed(upstream.id(), ERROR_WEIGHT, now);
      logFailure("status " + status);
      if (listener.onServerError(status)) {
        return;
      }
    } else {
      services.health().succeeded(upstream.id(), now);
    }
    listener.onFirstByte();
    listener.onAnswer(status, EndToEndHeaders.of(headers), body.toByteArray());
  }

  @Override
  public void onFailure(boolean sent, Throwable cause) {
    if (ended) {
      return;
    }
    if (sent) {
      broken(cause.toString());
      return;
    }
    failedToOpen = true;
    finish();
    services.health().failed(upstream.id(), UNREACHABLE_WEIGHT, services.loop().now());
    logFailure(cause.toString());
    listener.onOpenFailed(upstream, "the connection to " + upstream.id() + " failed");
  }

  private void broken(String reason) {
    UpstreamClient.Call running = call;
    finish();
    if (running != null) {
      running.cancel();
    }
    services.health().failed(upstream.id(), BROKEN_WEIGHT, services.loop().now());
    logFailure(reason);
    listener.onBroken(upstream, reason);
  }

  private void logFailure(String reason) {
    services
        .log()
        .event(GatewayEvent.UPSTREAM_FAILED)
        .with("request", requestId)
        .with("upstream", upstream.id())
        .with("reason", reason)
        .write();
  }
}
