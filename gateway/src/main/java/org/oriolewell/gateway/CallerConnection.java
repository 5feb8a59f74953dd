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
import org.oriolewell.core.route.CallerLimits;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.net.OutputQueue;

/**
 * A caller's connection. Requests are read whole, one at a time, and answered in order. The
 * connection keeps reading while a request is in progress, so that a caller that leaves is noticed
 * at once, before any byte of an answer was written.
 */
final class CallerConnection extends AbstractConnection {
  private static final int READ_BYTES = 16 << 10;

  /** Bytes of later requests that are kept while one is in progress; more wait in the kernel. */
  private static final int PIPELINE_BYTES = 64 << 10;

  /** Bytes that may wait for a caller that reads slowly. */
  private static final long MAX_QUEUED_BYTES = 4 << 20;

  /** Takes the requests of callers. */
  interface Handler {
    /** Called for each whole request; the exchange must be ended. */
    void onRequest(CallerExchange exchange);

    /** Returns the bounds in force. */
    CallerLimits limits();

    /** Returns whether connections should be closed after the next answer. */
    boolean stopping();

    /** Called when a connection opens. */
    void onOpened(CallerConnection connection);

    /** Called when a connection is closed. */
    void onClosed(CallerConnection connection);
  }

  private final EventLoop loop;
  private final Handler handler;
  private final OutputQueue output;
  private final HttpParser parser;
  private final ByteBuffer chunk = BufferUtil.allocate(READ_BYTES);
  private ByteBuffer input = ByteBuffer.allocate(READ_BYTES).limit(0);
  private @Nullable CallerExchange exchange;
  private EventLoop.@Nullable Timer timer;
  private boolean messageStarted;
  private boolean closed;
  private boolean reading;
  private boolean closeWhenWritten;

  CallerConnection(EndPoint endPoint, Executor executor, EventLoop loop, Handler handler) {
    super(endPoint, executor);
    this.loop = loop;
    this.handler = handler;
    this.output = new OutputQueue(endPoint, MAX_QUEUED_BYTES, cause -> loop.dispatch(this::gone));
    this.parser = new HttpParser(new Requests(), handler.limits().headerBytes());
  }

  @Override
  public void onOpen() {
    super.onOpen();
    loop.execute(
        () -> {
          handler.onOpened(this);
          startTimer(handler.limits().idleTime(), this::close);
          read();
        });
  }

  private final Callback fillable =
      new Callback() {
        @Override
        public void succeeded() {
          loop.dispatch(CallerConnection.this::onFillable);
        }

        @Override
        public void failed(Throwable cause) {
          loop.dispatch(CallerConnection.this::gone);
        }

        @Override
        public InvocationType getInvocationType() {
          return InvocationType.NON_BLOCKING;
        }
      };

  private void read() {
    if (!closed && !reading && input.remaining() < PIPELINE_BYTES) {
      reading = true;
      fillInterested(fillable);
    }
  }

  @Override
  public void onFillable() {
    reading = false;
    try {
      while (!closed && input.remaining() < PIPELINE_BYTES) {
        int filled = getEndPoint().fill(chunk);
        if (filled < 0) {
          endOfInput();
          return;
        }
        if (filled == 0) {
          break;
        }
        append();
        parse();
      }
      read();
    } catch (Exception e) {
      gone();
    }
  }

  private void append() {
    if (input.capacity() - input.limit() < chunk.remaining()) {
      ByteBuffer larger =
          ByteBuffer.allocate(input.remaining() + Math.max(READ_BYTES, chunk.remaining()) * 2);
      larger.put(input).flip();
      input = larger;
    }
    int position = input.position();
    int limit = input.limit();
    input.limit(limit + chunk.remaining()).position(limit);
    input.put(chunk);
    input.position(position);
    BufferUtil.clear(chunk);
  }

  private void parse() {
    while (!closed && exchange == null && !closeWhenWritten && input.hasRemaining()) {
      if (!parser.parseNext(input) && !input.hasRemaining()) {
        return;
      }
    }
  }

  private void endOfInput() {
    gone();
  }

  /** Ends the connection after the caller left or the connection failed. */
  private void gone() {
    if (closed) {
      return;
    }
    CallerExchange running = exchange;
    close();
    if (running != null) {
      running.callerGone();
    }
  }

  @Override
  public void close() {
    if (!closed) {
      closed = true;
      stopTimer();
      handler.onClosed(this);
      getEndPoint().close();
    }
  }

  /** Returns whether no request is being read or answered. */
  boolean idle() {
    return exchange == null && !messageStarted && !input.hasRemaining();
  }

  private void startTimer(Duration delay, Runnable task) {
    stopTimer();
    timer = loop.after(delay, task);
  }

  private void stopTimer() {
    EventLoop.Timer running = timer;
    if (running != null) {
      running.cancel();
      timer = null;
    }
  }

  /** Writes buffers; returns false if the connection is closed or the caller doesn't read. */
  boolean write(ByteBuffer... buffers) {
    if (closed) {
      return false;
    }
    if (!output.write(buffers)) {
      gone();
      return false;
    }
    return true;
  }

  /** Ends the exchange in progress and reads the next request. */
  void exchangeEnded(boolean keepOpen) {
    exchange = null;
    messageStarted = false;
    if (!keepOpen || parser.isClose() || parser.isClosed()) {
      finishAndClose();
      return;
    }
    parser.reset();
    startTimer(handler.limits().idleTime(), this::close);
    parse();
    read();
  }

  private void finishAndClose() {
    closeWhenWritten = true;
    if (output.idle()) {
      close();
    } else {
      startTimer(Duration.ofMillis(5), this::finishAndClose);
    }
  }

  private void refuse(int status) {
    HttpFields headers =
        HttpFields.build().add(HttpHeader.CONNECTION, "close").add(HttpHeader.CONTENT_LENGTH, "0");
    write(HttpText.responseHead(status, headers));
    finishAndClose();
  }

  private final class Requests implements HttpParser.RequestHandler {
    private String method = "";
    private String target = "";
    private HttpFields.Mutable headers = HttpFields.build();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpVersion version = HttpVersion.HTTP_1_1;
    private boolean refused;

    @Override
    public void messageBegin() {
      messageStarted = true;
      startTimer(handler.limits().headerTime(), () -> refuse(408));
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
      startTimer(handler.limits().idleTime(), () -> refuse(408));
      long length = headers.getLongField(HttpHeader.CONTENT_LENGTH);
      if (length > handler.limits().bodyBytes()) {
        refused = true;
        refuse(413);
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
      if (body.size() + content.remaining() > handler.limits().bodyBytes()) {
        refused = true;
        refuse(413);
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
      if (refused || closeWhenWritten) {
        return true;
      }
      stopTimer();
      boolean close =
          version != HttpVersion.HTTP_1_1
              || headers.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
      CallerRequest request =
          new CallerRequest(method, target, headers.asImmutable(), body.toByteArray(), loop.now());
      CallerExchange started = CallerExchange.of(CallerConnection.this, request, close);
      exchange = started;
      body = new ByteArrayOutputStream();
      loop.execute(() -> handler.onRequest(started));
      return true;
    }

    @Override
    public void earlyEOF() {
      gone();
    }

    @Override
    public void badMessage(HttpException failure) {
      if (!refused && !closeWhenWritten) {
        refused = true;
        refuse(failure.getCode());
      }
    }
  }

  /** Returns whether the connection should be closed after an answer. */
  boolean stopping() {
    return handler.stopping();
  }
}
