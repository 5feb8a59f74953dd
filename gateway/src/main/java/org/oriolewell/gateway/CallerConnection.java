package org.oriolewell.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.Executor;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.overload.BufferBudget;
import org.oriolewell.core.route.CallerLimits;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.net.OutputQueue;

/**
 * An HTTP/1.1 connection of a caller. Requests are read completely, one at a time, and answered in
 * order. The connection keeps reading while a request is in progress, so that a caller that
 * disconnects is noticed at once, even before any byte of the answer was written.
 */
final class CallerConnection extends AbstractConnection implements BufferBudget.Buffer {
  private static final int READ_BUFFER_BYTES = 16 << 10;

  /** Bytes of pipelined requests that are read ahead; further ones stay in the kernel's buffer. */
  private static final int MAX_PIPELINED_BYTES = 64 << 10;

  /** Reads in a row after which other connections of the event loop get their turn. */
  private static final int MAX_READS_PER_TURN = 16;

  /** Most output that is queued for a slow caller; beyond it the connection is closed. */
  private static final long MAX_QUEUED_OUTPUT_BYTES = 4 << 20;

  /** Longest time in which the body of a request may arrive, however steadily it does. */
  private static final Duration MAX_BODY_TIME = Duration.ofSeconds(60);

  /** Longest time in which the last output of a connection is written to a slow caller. */
  private static final Duration LAST_OUTPUT_TIMEOUT = Duration.ofSeconds(10);

  /** Interval at which the end of the last output is checked. */
  private static final Duration LAST_OUTPUT_CHECK_INTERVAL = Duration.ofMillis(5);

  /**
   * Longest time for which input is discarded after the output was shut down. A connection that is
   * closed with unread input is reset, and a reset can destroy output that the caller hasn't read.
   */
  private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(1);

  /** Most input that is discarded before a connection is closed. */
  private static final long MAX_DISCARDED_BYTES = 16 << 20;

  /** Handles the requests on the connections of one listening port. */
  interface Handler {
    /** Called for each complete request; the handler must end the exchange. */
    void onRequest(CallerExchange exchange);

    /** Returns the current limits on sizes and times of requests. */
    CallerLimits limits();

    /** Returns whether the process is stopping, so that connections close after the next answer. */
    boolean stopping();

    /** Called when a caller has connected. */
    void onOpened(CallerConnection connection);

    /** Called once when a connection is closed by either side. */
    void onClosed(CallerConnection connection);
  }

  private final EventLoop loop;
  private final Handler handler;
  private final AnswerMemory answerMemory;
  private final OutputQueue output;
  private final RequestAssembler assembler = new RequestAssembler();
  private int maxHeaderBytes;
  private HttpParser parser;
  private final ByteBuffer readBuffer = BufferUtil.allocate(READ_BUFFER_BYTES);
  private ByteBuffer pendingInput = ByteBuffer.allocate(READ_BUFFER_BYTES).limit(0);
  private @Nullable CallerExchange exchange;
  private EventLoop.@Nullable Timer timer;
  private long idleSince;
  private boolean messageStarted;
  private boolean closed;
  private boolean readRequested;
  private boolean closeAfterOutput;
  private boolean inputEnded;
  private long discardedBytes;

  CallerConnection(
      EndPoint endPoint,
      Executor executor,
      EventLoop loop,
      Handler handler,
      AnswerMemory answerMemory) {
    super(endPoint, executor);
    this.answerMemory = answerMemory;
    this.loop = loop;
    this.handler = handler;
    this.output =
        new OutputQueue(endPoint, MAX_QUEUED_OUTPUT_BYTES, cause -> loop.dispatch(this::close));
    this.maxHeaderBytes = handler.limits().maxHeaderBytes();
    this.parser = HttpParsers.forRequests(assembler, maxHeaderBytes);
  }

  @Override
  public void onOpen() {
    super.onOpen();
    loop.execute(
        () -> {
          handler.onOpened(this);
          answerMemory.add(this);
          startIdleTimer();
          read();
        });
  }

  private final Callback fillCallback =
      new Callback() {
        @Override
        public void succeeded() {
          loop.dispatch(CallerConnection.this::onFillable);
        }

        @Override
        public void failed(Throwable cause) {
          loop.dispatch(CallerConnection.this::close);
        }

        @Override
        public InvocationType getInvocationType() {
          return InvocationType.NON_BLOCKING;
        }
      };

  private void read() {
    if (mayRead() && !readRequested) {
      readRequested = true;
      fillInterested(fillCallback);
    }
  }

  private boolean mayRead() {
    return !closed
        && !inputEnded
        && (closeAfterOutput || pendingInput.remaining() < MAX_PIPELINED_BYTES);
  }

  /**
   * Reads what has arrived without waiting for the selector, so that a caller that has disconnected
   * is noticed even if the event loop is behind.
   */
  void readArrivedInput() {
    fill();
  }

  @Override
  public void onFillable() {
    readRequested = false;
    if (fill()) {
      read();
    }
  }

  /** Reads and parses a bounded part of the input; returns whether the connection is still open. */
  private boolean fill() {
    try {
      for (int reads = 0; reads < MAX_READS_PER_TURN && mayRead(); reads++) {
        int filledBytes = getEndPoint().fill(readBuffer);
        if (filledBytes < 0) {
          onInputEnded();
        } else if (filledBytes == 0) {
          break;
        } else if (closeAfterOutput) {
          discardInput();
        } else {
          appendInput();
          parse();
        }
      }
    } catch (Exception e) {
      close();
    }
    return !closed;
  }

  private void onInputEnded() {
    if (closeAfterOutput && !output.idle()) {
      inputEnded = true;
    } else {
      close();
    }
  }

  private void discardInput() {
    discardedBytes += readBuffer.remaining();
    BufferUtil.clear(readBuffer);
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      close();
    }
  }

  private void appendInput() {
    if (pendingInput.capacity() - pendingInput.limit() < readBuffer.remaining()) {
      ByteBuffer largerBuffer =
          ByteBuffer.allocate(
              pendingInput.remaining() + Math.max(READ_BUFFER_BYTES, readBuffer.remaining()) * 2);
      largerBuffer.put(pendingInput).flip();
      pendingInput = largerBuffer;
    }
    int position = pendingInput.position();
    int limit = pendingInput.limit();
    pendingInput.limit(limit + readBuffer.remaining()).position(limit);
    pendingInput.put(readBuffer);
    pendingInput.position(position);
    BufferUtil.clear(readBuffer);
  }

  /** Applies a changed limit, which an existing parser can't take over, to the next request. */
  private void applyHeaderLimit() {
    int newLimit = handler.limits().maxHeaderBytes();
    if (newLimit != maxHeaderBytes && parser.isStart()) {
      maxHeaderBytes = newLimit;
      parser = HttpParsers.forRequests(assembler, newLimit);
    }
  }

  private void parse() {
    applyHeaderLimit();
    while (!closed && exchange == null && !closeAfterOutput && pendingInput.hasRemaining()) {
      if (!parser.parseNext(pendingInput) && !pendingInput.hasRemaining()) {
        return;
      }
    }
  }

  /** Closes the connection; a request in progress is canceled, as its answer has no recipient. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    stopTimer();
    handler.onClosed(this);
    answerMemory.remove(this);
    getEndPoint().close();
    CallerExchange currentExchange = exchange;
    if (currentExchange != null) {
      currentExchange.onCallerLeft();
    }
  }

  /** Closes the connection if an exchange is still its current one. */
  void closeDuring(CallerExchange failedExchange) {
    if (exchange == failedExchange) {
      close();
    }
  }

  private void handle(CallerExchange newExchange) {
    boolean handled = false;
    try {
      handler.onRequest(newExchange);
      handled = true;
    } finally {
      if (!handled) {
        newExchange.endAfterFailure(500);
      }
    }
  }

  private void startIdleTimer() {
    idleSince = loop.now();
    startTimer(handler.limits().idleTimeout(), this::onIdleTimer);
  }

  private void onIdleTimer() {
    Duration remaining = remainingTime(idleSince, handler.limits().idleTimeout());
    if (remaining.isZero()) {
      closeIfIdle();
    } else {
      startTimer(remaining, this::onIdleTimer);
    }
  }

  /** Returns the rest of a time limit, which may have changed since its timer was started. */
  private Duration remainingTime(long since, Duration limit) {
    long remainingNanos = limit.toNanos() - (loop.now() - since);
    return Duration.ofNanos(Math.max(0, remainingNanos));
  }

  /** Closes the connection unless a request is being answered, or has arrived at least in part. */
  void closeIfIdle() {
    if (idle()) {
      readArrivedInput();
    }
    if (idle()) {
      close();
    }
  }

  /** Returns whether the connection was opened, or its last answer ended, within a time limit. */
  boolean recentlyUsed(Duration limit) {
    return loop.now() - idleSince < limit.toNanos();
  }

  private boolean idle() {
    return exchange == null && !messageStarted && !closeAfterOutput && !pendingInput.hasRemaining();
  }

  private void startTimer(Duration delay, Runnable task) {
    stopTimer();
    timer = loop.after(delay, task);
  }

  private void stopTimer() {
    EventLoop.Timer runningTimer = timer;
    if (runningTimer != null) {
      runningTimer.cancel();
      timer = null;
    }
  }

  /** Queues output; returns false if the connection is closed or too much output is queued. */
  boolean write(ByteBuffer... buffers) {
    if (closed) {
      return false;
    }
    long addedBytes = BufferUtil.remaining(buffers);
    if (!output.write(buffers)) {
      close();
      return false;
    }
    answerMemory.grown(addedBytes);
    return !closed;
  }

  @Override
  public long bytes() {
    return output.queuedBytes();
  }

  @Override
  public void discard() {
    close();
  }

  /** Ends the current exchange, and reads the next request or closes the connection. */
  void exchangeEnded(boolean keepOpen) {
    exchange = null;
    messageStarted = false;
    if (closed) {
      return;
    }
    if (!keepOpen || parser.isClose() || parser.isClosed()) {
      closeAfterLastOutput();
      return;
    }
    parser.reset();
    startIdleTimer();
    parse();
    read();
  }

  /** Closes the connection when its output is written and its input has ended or was discarded. */
  private void closeAfterLastOutput() {
    closeAfterOutput = true;
    awaitLastOutput(loop.now() + LAST_OUTPUT_TIMEOUT.toNanos());
    read();
  }

  private void awaitLastOutput(long dueAt) {
    if (closed) {
      return;
    }
    if (!output.idle() && loop.now() < dueAt) {
      startTimer(LAST_OUTPUT_CHECK_INTERVAL, () -> awaitLastOutput(dueAt));
    } else if (!output.idle() || inputEnded) {
      close();
    } else {
      getEndPoint().shutdownOutput();
      startTimer(DISCARD_TIMEOUT, this::close);
    }
  }

  private void refuseAndClose(int status) {
    HttpFields headers =
        HttpFields.build().add(HttpHeader.CONNECTION, "close").add(HttpHeader.CONTENT_LENGTH, "0");
    write(HttpText.responseHead(status, headers));
    closeAfterLastOutput();
  }

  /** Collects the parsed parts of a request until it is complete. */
  private final class RequestAssembler implements HttpParser.RequestHandler {
    private String method = "";
    private String target = "";
    private HttpFields.Mutable headers = HttpFields.build();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpVersion version = HttpVersion.HTTP_1_1;
    private boolean refused;
    private long messageStartedAt;
    private boolean headRead;
    private long headReadAt;
    private long lastContentAt;

    @Override
    public void messageBegin() {
      messageStarted = true;
      messageStartedAt = loop.now();
      headRead = false;
      startTimer(handler.limits().headerTimeout(), this::refuseIfLate);
    }

    /** Refuses the request if it is not complete when its time is over. */
    private void refuseIfLate() {
      readArrivedInput();
      if (closed || closeAfterOutput || exchange != null) {
        return;
      }
      Duration remaining = remainingTime();
      if (remaining.isZero()) {
        refuseAndClose(408);
      } else {
        startTimer(remaining, this::refuseIfLate);
      }
    }

    private Duration remainingTime() {
      CallerLimits limits = handler.limits();
      if (!headRead) {
        return CallerConnection.this.remainingTime(messageStartedAt, limits.headerTimeout());
      }
      Duration untilIdle = CallerConnection.this.remainingTime(lastContentAt, limits.idleTimeout());
      Duration untilLimit = CallerConnection.this.remainingTime(headReadAt, MAX_BODY_TIME);
      return untilIdle.compareTo(untilLimit) < 0 ? untilIdle : untilLimit;
    }

    @Override
    public void startRequest(String requestMethod, String uri, HttpVersion requestVersion) {
      method = requestMethod;
      target = uri;
      version = requestVersion;
      headers = HttpFields.build();
      body = new ByteArrayOutputStream();
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
      startTimer(remainingTime(), this::refuseIfLate);
      long contentLength = headers.getLongField(HttpHeader.CONTENT_LENGTH);
      if (contentLength > handler.limits().maxBodyBytes()) {
        refused = true;
        refuseAndClose(413);
        return true;
      }
      if (headers.contains(HttpHeader.EXPECT, HttpHeaderValue.CONTINUE.asString())) {
        write(HttpText.responseHead(100, HttpFields.EMPTY));
      }
      return false;
    }

    @Override
    public boolean content(ByteBuffer content) {
      if (refused) {
        return true;
      }
      lastContentAt = loop.now();
      if (body.size() + content.remaining() > handler.limits().maxBodyBytes()) {
        refused = true;
        refuseAndClose(413);
        return true;
      }
      byte[] bytes = new byte[content.remaining()];
      content.get(bytes);
      body.writeBytes(bytes);
      return false;
    }

    @Override
    public boolean contentComplete() {
      return false;
    }

    @Override
    public boolean messageComplete() {
      if (refused || closeAfterOutput) {
        return true;
      }
      stopTimer();
      boolean closeAfterAnswer =
          version != HttpVersion.HTTP_1_1
              || headers.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
      CallerRequest request =
          new CallerRequest(method, target, headers.asImmutable(), body.toByteArray(), loop.now());
      CallerExchange newExchange =
          CallerExchange.of(CallerConnection.this, request, closeAfterAnswer);
      exchange = newExchange;
      body = new ByteArrayOutputStream();
      loop.execute(() -> handle(newExchange));
      return true;
    }

    @Override
    public void earlyEOF() {
      close();
    }

    @Override
    public void badMessage(HttpException failure) {
      if (!refused && !closeAfterOutput) {
        refused = true;
        refuseAndClose(failure.getCode());
      }
    }
  }

  /** Returns whether the connection should be closed after the current answer. */
  boolean stopping() {
    return handler.stopping();
  }
}
