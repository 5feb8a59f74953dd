package org.oriolewell.gateway;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Executor;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.net.OutputQueue;

/**
 * A connection to an upstream, used for one request at a time. A connection that carried a byte
 * that belongs to no request, or whose request was not written whole, is never used again.
 */
final class UpstreamConnection extends AbstractConnection {
  private static final int READ_BYTES = 16 << 10;
  private static final long MAX_QUEUED_BYTES = 16 << 20;
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

  /** Idle time after which a connection is not used again if the upstream names no time-out. */
  private static final Duration DEFAULT_IDLE = Duration.ofSeconds(4);

  /** Margin to the upstream's idle time-out, so that a request doesn't cross its close. */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

  /** Decides what becomes of the connection after a request. */
  interface Owner {
    /** Called when the connection may carry another request. */
    void onIdle(UpstreamConnection connection);

    /** Called when the connection is closed. */
    void onClosed(UpstreamConnection connection);
  }

  private final EventLoop loop;
  private final Owner owner;
  private final String attemptIdHeader;
  private final OutputQueue output;
  private final HttpParser parser;
  private final ByteBuffer chunk = BufferUtil.allocate(READ_BYTES);
  private @Nullable UpstreamListener listener;
  private @Nullable String attemptId;
  private boolean skipping;
  private boolean answerClosed;
  private boolean unframed;
  private boolean answered;
  private boolean closed;
  private boolean answerEndsConnection;
  private long usableUntil = Long.MAX_VALUE;

  UpstreamConnection(
      EndPoint endPoint, Executor executor, EventLoop loop, Owner owner, String attemptIdHeader) {
    super(endPoint, executor);
    this.loop = loop;
    this.owner = owner;
    this.attemptIdHeader = attemptIdHeader;
    this.output = new OutputQueue(endPoint, MAX_QUEUED_BYTES, c -> loop.dispatch(() -> fail(c)));
    this.parser = new HttpParser(new Responses(), 32 << 10);
  }

  private final Callback fillable =
      new Callback() {
        @Override
        public void succeeded() {
          loop.dispatch(UpstreamConnection.this::onFillable);
        }

        @Override
        public void failed(Throwable cause) {
          loop.dispatch(() -> fail(cause));
        }

        @Override
        public InvocationType getInvocationType() {
          return InvocationType.NON_BLOCKING;
        }
      };

  @Override
  public void onOpen() {
    super.onOpen();
    loop.execute(
        () -> {
          if (!closed) {
            fillInterested(fillable);
          }
        });
  }

  /** Returns whether a request may be sent now. */
  boolean usable(long now) {
    return !closed && listener == null && now < usableUntil;
  }

  /** Sends a request; the listener hears of its end unless {@link #close()} is called before. */
  void send(UpstreamRequest request, UpstreamListener answerListener) {
    listener = answerListener;
    attemptId = request.attemptId();
    answered = false;
    answerEndsConnection = false;
    parser.reset();
    HttpFields.Mutable head = HttpFields.build(request.headers());
    if (request.body().length > 0 || request.method().equals("POST")) {
      head.put(HttpHeader.CONTENT_LENGTH, Integer.toString(request.body().length));
    }
    boolean queued =
        output.write(
            HttpText.requestHead(request.method(), request.target(), head),
            ByteBuffer.wrap(request.body()));
    if (queued) {
      answerListener.onSent();
    } else {
      loop.execute(() -> fail(new IOException("the upstream does not read")));
    }
  }

  @Override
  public void onFillable() {
    try {
      while (!closed) {
        int filled = getEndPoint().fill(chunk);
        if (filled < 0) {
          endOfInput();
          return;
        }
        if (filled == 0) {
          fillInterested(fillable);
          return;
        }
        parse();
      }
    } catch (IOException | RuntimeException e) {
      fail(e);
    }
  }

  private void parse() {
    while (!closed && chunk.hasRemaining()) {
      if (listener == null) {
        // Bytes that no request asked for; nothing on this connection can be trusted any more.
        close();
        return;
      }
      parser.parseNext(chunk);
      if (answered) {
        finish();
      }
    }
    BufferUtil.clear(chunk);
  }

  private void endOfInput() {
    if (listener == null) {
      close();
      return;
    }
    parser.atEOF();
    parser.parseNext(BufferUtil.EMPTY_BUFFER);
    if (answered) {
      finish();
    } else {
      fail(new EOFException("the upstream closed the connection before its answer was whole"));
    }
  }

  private void finish() {
    final UpstreamListener done = listener;
    listener = null;
    answered = false;
    boolean reusable =
        !answerEndsConnection && !unframed && !chunk.hasRemaining() && output.idle() && !closed;
    if (reusable) {
      owner.onIdle(this);
    } else {
      close();
    }
    if (done != null) {
      done.onComplete();
    }
  }

  private void fail(Throwable cause) {
    UpstreamListener failed = listener;
    listener = null;
    close();
    if (failed != null) {
      failed.onFailure(true, cause);
    }
  }

  @Override
  public void close() {
    listener = null;
    if (!closed) {
      closed = true;
      owner.onClosed(this);
      getEndPoint().close();
    }
  }

  private final class Responses implements HttpParser.ResponseHandler {
    private HttpFields.Mutable headers = HttpFields.build();
    private int status;

    @Override
    public void startResponse(HttpVersion version, int responseStatus, String reason) {
      status = responseStatus;
      headers = HttpFields.build();
      skipping = false;
      answerClosed = version != HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
      headers.add(field);
    }

    @Override
    public boolean headerComplete() {
      if (status < 200) {
        skipping = true;
        return false;
      }
      String expected = attemptId;
      String id = headers.get(attemptIdHeader);
      if (expected != null && id != null && !expected.equals(id)) {
        // A late second answer to an earlier request; the answer to this one may still follow.
        skipping = true;
        answerEndsConnection = true;
        return false;
      }
      answerClosed |= headers.contains(HttpHeader.CONNECTION, "close");
      answerEndsConnection |= answerClosed;
      unframed =
          !headers.contains(HttpHeader.CONTENT_LENGTH)
              && !headers.contains(HttpHeader.TRANSFER_ENCODING)
              && status != 204
              && status != 304;
      usableUntil = loop.now() + idleTime(headers).toNanos();
      UpstreamListener receiver = listener;
      if (receiver != null) {
        receiver.onHead(status, headers.asImmutable());
      }
      return false;
    }

    @Override
    public boolean content(ByteBuffer content) {
      byte[] bytes = new byte[content.remaining()];
      content.get(bytes);
      UpstreamListener receiver = listener;
      if (!skipping && receiver != null) {
        receiver.onContent(bytes);
      }
      return closed;
    }

    @Override
    public boolean contentComplete() {
      return false;
    }

    @Override
    public boolean messageComplete() {
      if (skipping) {
        parser.reset();
      } else {
        answered = true;
      }
      return true;
    }

    @Override
    public void earlyEOF() {
      fail(new EOFException("the answer ended early"));
    }

    @Override
    public void badMessage(HttpException failure) {
      fail(new IOException("the bytes are no HTTP answer: " + failure.getReason()));
    }
  }

  private static Duration idleTime(HttpFields headers) {
    String value = headers.get(HttpHeader.KEEP_ALIVE);
    if (value == null) {
      return DEFAULT_IDLE;
    }
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(value.toLowerCase(Locale.ROOT));
    if (!matcher.find()) {
      return DEFAULT_IDLE;
    }
    Duration stated = Duration.ofSeconds(Long.parseLong(matcher.group(1)));
    return stated.compareTo(IDLE_MARGIN) > 0 ? stated.minus(IDLE_MARGIN) : Duration.ZERO;
  }
}
