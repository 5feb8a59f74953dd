package org.oriolewell.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.oriolewell.core.overload.BodyRate;
import org.oriolewell.core.route.CallerLimits;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Collects the parsed parts of a request until it is complete, and refuses it if it is too large or
 * arrives too slowly. Used on the event loop only.
 */
final class RequestAssembler implements HttpParser.RequestHandler {
  /** Longest time in which the body of a request may arrive, however steadily it does. */
  private static final Duration MAX_BODY_TIME = Duration.ofSeconds(60);

  /** Interval at which the rate of a body is checked after its grace. */
  private static final Duration RATE_CHECK_INTERVAL = Duration.ofSeconds(1);

  /** Time after which a request is checked again whose input could not be read completely. */
  private static final Duration UNREAD_CHECK_INTERVAL = Duration.ofMillis(100);

  /** Memory that a parsed header takes up for each of its bytes: strings and field objects. */
  private static final int HEAD_MEMORY_FACTOR = 3;

  /** What the assembler reports to its connection. */
  interface Receiver {
    /** Called at the first byte of a request. */
    void onBegin();

    /** Called when a request is complete. */
    void onComplete(CallerRequest request, boolean closeAfterAnswer);

    /** Called once if a request is refused without having run; the connection must be closed. */
    void onRefused(int status, String reason);

    /** Called if the caller expects a confirmation before it sends the body. */
    void onContinueExpected();

    /**
     * Reads what has arrived of the request.
     *
     * @return whether everything was read that had arrived
     */
    boolean readArrived();

    /** Starts a timer, and cancels the one before. */
    void startTimer(Duration delay, Runnable task);

    /** Cancels the timer. */
    void stopTimer();

    /** Returns the current limits on requests. */
    CallerLimits limits();
  }

  private final Receiver receiver;
  private final EventLoop loop;
  private final BodyRate bodyRate;
  private String method = "";
  private String target = "";
  private HttpFields.Mutable headers = HttpFields.build();
  private BodyBuffer body = new BodyBuffer(0);
  private HttpVersion version = HttpVersion.HTTP_1_1;
  private boolean started;
  private boolean refused;
  private long startedAt;
  private boolean headRead;
  private long headReadAt;
  private long lastContentAt;
  private boolean headCounted;
  private boolean complete;
  private int headBytes;
  private int contentBytes;
  private int contentBytesAtParse;
  private int chunksBeforeYield;

  RequestAssembler(Receiver receiver, EventLoop loop, BodyRate bodyRate) {
    this.receiver = receiver;
    this.loop = loop;
    this.bodyRate = bodyRate;
  }

  /** Returns whether a part of a request has arrived, and the request has not ended. */
  boolean started() {
    return started;
  }

  /** Returns the memory of the head, in bytes. */
  long headMemory() {
    return (long) headBytes * HEAD_MEMORY_FACTOR;
  }

  /** Returns the memory of the part of the body that has arrived, in bytes. */
  long bodyMemory() {
    return body.capacity();
  }

  /** Returns the headers that were parsed of the current request. */
  HttpFields headers() {
    return headers;
  }

  /** Sets how many chunks may be parsed before the parser yields. */
  void startTurn(int maxChunks) {
    chunksBeforeYield = maxChunks;
    contentBytes = 0;
    contentBytesAtParse = 0;
  }

  /** Returns whether the parser should yield, so that others have their turn. */
  boolean yielding() {
    return chunksBeforeYield <= 0;
  }

  /** Returns the bytes of the body that were parsed in the current turn. */
  int contentBytesOfTurn() {
    return contentBytes;
  }

  /** Records that bytes were parsed, of which those before the body are the head. */
  void parsed(int byteCount) {
    if (started && !headCounted) {
      headBytes += byteCount - (contentBytes - contentBytesAtParse);
      headCounted = headRead;
    }
    contentBytesAtParse = contentBytes;
  }

  /** Gives up the parts of the current request. */
  void clear() {
    started = false;
    headers = HttpFields.build();
    body = new BodyBuffer(0);
    headBytes = 0;
  }

  /** Moves the times of the current request by a time in which the connection was not read. */
  void postpone(long nanos) {
    startedAt += nanos;
    headReadAt += nanos;
    lastContentAt += nanos;
  }

  /** Makes all later parts of the request be ignored. */
  void refuse() {
    refused = true;
    clear();
  }

  private void refuse(int status, String reason) {
    if (!refused) {
      refused = true;
      receiver.onRefused(status, reason);
      clear();
    }
  }

  @Override
  public void messageBegin() {
    started = true;
    startedAt = loop.now();
    headRead = false;
    headCounted = false;
    complete = false;
    headBytes = 0;
    receiver.onBegin();
    receiver.startTimer(receiver.limits().headerTimeout(), this::refuseIfLate);
  }

  /** Refuses the request if it is not complete when its time is over. */
  private void refuseIfLate() {
    if (refused || !started || complete) {
      return;
    }
    boolean allRead = receiver.readArrived();
    if (refused || !started || complete) {
      return;
    }
    if (!allRead) {
      // What has arrived may complete the request, or show that the caller is fast enough.
      receiver.startTimer(UNREAD_CHECK_INTERVAL, this::refuseIfLate);
      return;
    }
    Duration remaining = remainingTime();
    if (remaining.isZero()) {
      refuse(408, "request too late");
    } else if (tooSlow()) {
      refuse(408, "body too slow");
    } else {
      receiver.startTimer(remaining, this::refuseIfLate);
    }
  }

  private boolean tooSlow() {
    return headRead && bodyRate.tooSlow(body.size(), Duration.ofNanos(loop.now() - headReadAt));
  }

  private Duration remainingTime() {
    CallerLimits limits = receiver.limits();
    if (!headRead) {
      return remainder(startedAt, limits.headerTimeout());
    }
    Duration untilIdle = remainder(lastContentAt, limits.idleTimeout());
    Duration untilLimit = remainder(headReadAt, MAX_BODY_TIME);
    Duration untilRateCheck = remainder(headReadAt, bodyRate.grace());
    return min(min(untilIdle, untilLimit), max(untilRateCheck, RATE_CHECK_INTERVAL));
  }

  private static Duration min(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  private static Duration max(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  /** Returns the rest of a time limit, which may have changed since its timer was started. */
  private Duration remainder(long since, Duration limit) {
    return Duration.ofNanos(Math.max(0, limit.toNanos() - (loop.now() - since)));
  }

  @Override
  public void startRequest(String requestMethod, String uri, HttpVersion requestVersion) {
    method = requestMethod;
    target = uri;
    version = requestVersion;
    headers = HttpFields.build();
    body = new BodyBuffer(0);
  }

  @Override
  public void parsedHeader(HttpField field) {
    headers.add(field);
  }

  @Override
  public boolean headerComplete() {
    headRead = true;
    headReadAt = loop.now();
    lastContentAt = headReadAt;
    receiver.startTimer(remainingTime(), this::refuseIfLate);
    long contentLength = headers.getLongField(HttpHeader.CONTENT_LENGTH);
    if (contentLength > receiver.limits().maxBodyBytes()) {
      refuse(413, "body too large");
      return true;
    }
    body = new BodyBuffer(contentLength);
    if (headers.contains(HttpHeader.EXPECT, HttpHeaderValue.CONTINUE.asString())) {
      receiver.onContinueExpected();
    }
    return false;
  }

  @Override
  public boolean content(ByteBuffer content) {
    if (refused) {
      return true;
    }
    lastContentAt = loop.now();
    if (body.size() + content.remaining() > receiver.limits().maxBodyBytes()) {
      refuse(413, "body too large");
      return true;
    }
    contentBytes += content.remaining();
    body.append(content);
    chunksBeforeYield--;
    // A body with a length can end here, and is bounded by the input of the turn.
    return yielding() && !headers.contains(HttpHeader.CONTENT_LENGTH);
  }

  @Override
  public boolean contentComplete() {
    return false;
  }

  @Override
  public boolean messageComplete() {
    if (refused) {
      return true;
    }
    complete = true;
    receiver.stopTimer();
    boolean closeAfterAnswer =
        version != HttpVersion.HTTP_1_1
            || headers.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    CallerRequest request =
        new CallerRequest(method, target, headers.asImmutable(), body.toByteArray(), loop.now());
    body = new BodyBuffer(0);
    receiver.onComplete(request, closeAfterAnswer);
    return true;
  }

  @Override
  public void earlyEOF() {
    // The connection notices the end of its input itself.
  }

  @Override
  public void badMessage(HttpException failure) {
    refuse(failure.getCode(), "invalid request");
  }
}
