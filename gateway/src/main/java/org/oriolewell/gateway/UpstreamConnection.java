package org.oriolewell.gateway;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.Executor;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.overload.BufferBudget;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.net.OutputQueue;

/**
 * An HTTP/1.1 connection to an upstream that carries one request at a time. A connection is closed
 * if it received bytes that belong to no request, or if a request was not written completely.
 */
final class UpstreamConnection extends AbstractConnection implements BufferBudget.Buffer {
  private static final int READ_BUFFER_BYTES = 16 << 10;
  private static final int MAX_HEAD_BYTES = 32 << 10;
  private static final long MAX_QUEUED_OUTPUT_BYTES = 16 << 20;

  /** Reads in a row after which other connections of the event loop get their turn. */
  private static final int MAX_READS_PER_TURN = 4;

  /**
   * Most bytes of an answer that are not part of its body, beyond the size of the body: heads,
   * interim answers, repeated answers to earlier requests, chunk framing and trailers.
   */
  private static final long MAX_OVERHEAD_BYTES = 128 << 10;

  /** Highest status of an HTTP answer; the parser refuses those below 100. */
  private static final int MAX_STATUS = 599;

  /** Most recent attempt identifiers that are kept to recognize one that is sent again. */
  private static final int MAX_KEPT_ATTEMPT_IDS = 64;

  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

  /**
   * Idle time after which a connection isn't reused if the upstream sends no Keep-Alive time-out.
   */
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(4);

  /**
   * Time before the upstream's idle time-out from which a connection isn't reused, so that no
   * request is sent while the upstream closes it.
   */
  private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofMillis(700);

  /** Interval at which the end of a request is checked whose answer has ended before. */
  private static final Duration WRITE_CHECK_INTERVAL = Duration.ofMillis(5);

  /** The pool that the connection belongs to. */
  interface Owner {
    /** Called when an answer is complete and the connection can be reused. */
    void onIdle(UpstreamConnection connection);

    /** Called once when the connection is closed by either side. */
    void onClosed(UpstreamConnection connection);
  }

  private final EventLoop loop;
  private final Owner owner;
  private final String attemptIdHeader;
  private final AnswerMemory answerMemory;
  private final OutputQueue output;
  private final HttpParser parser;
  private final ByteBuffer readBuffer = BufferUtil.allocate(READ_BUFFER_BYTES);
  private @Nullable UpstreamListener listener;
  private @Nullable String attemptId;
  private final Deque<String> recentAttemptIds = new ArrayDeque<>();
  private boolean carriedRequest;
  private boolean skippingAnswer;
  private boolean upstreamCloses;
  private boolean bodyEndsAtClose;
  private boolean answerComplete;
  private boolean closed;
  private boolean closeAfterAnswer;
  private long usableUntil = Long.MAX_VALUE;
  private long receivedBytes;
  private long deliveredBytes;

  UpstreamConnection(
      EndPoint endPoint,
      Executor executor,
      EventLoop loop,
      Owner owner,
      String attemptIdHeader,
      AnswerMemory answerMemory) {
    super(endPoint, executor);
    this.loop = loop;
    this.owner = owner;
    this.attemptIdHeader = attemptIdHeader;
    this.answerMemory = answerMemory;
    this.output =
        new OutputQueue(
            endPoint, MAX_QUEUED_OUTPUT_BYTES, cause -> loop.dispatch(() -> failRequest(cause)));
    this.parser = HttpParsers.forAnswers(new AnswerHandler(), MAX_HEAD_BYTES);
  }

  private final Callback fillCallback =
      new Callback() {
        @Override
        public void succeeded() {
          loop.dispatch(UpstreamConnection.this::onFillable);
        }

        @Override
        public void failed(Throwable cause) {
          loop.dispatch(() -> failRequest(cause));
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
            answerMemory.add(this);
            fillInterested(fillCallback);
          }
        });
  }

  /** Returns whether the connection is open, idle and not near the upstream's idle time-out. */
  boolean usable(long now) {
    return !closed && listener == null && now < usableUntil;
  }

  /**
   * Returns whether an answer to an earlier request of this connection could be taken for one to an
   * attempt: the attempt has no identifier, or a recent request had the same one.
   *
   * @param nextAttemptId identifier of the attempt, empty if it has none; null if it is no attempt
   */
  boolean carriedBefore(@Nullable String nextAttemptId) {
    if (nextAttemptId == null) {
      return false;
    }
    return nextAttemptId.isEmpty() ? carriedRequest : recentAttemptIds.contains(nextAttemptId);
  }

  private void recordCarried(@Nullable String sentAttemptId) {
    carriedRequest = true;
    if (sentAttemptId != null && !sentAttemptId.isEmpty()) {
      recentAttemptIds.addLast(sentAttemptId);
      if (recentAttemptIds.size() > MAX_KEPT_ATTEMPT_IDS) {
        recentAttemptIds.removeFirst();
      }
    }
  }

  /** Sends a request; its listener is called at the end unless {@link #close()} comes first. */
  void send(UpstreamRequest request, UpstreamListener answerListener) {
    listener = answerListener;
    attemptId = request.attemptId();
    recordCarried(attemptId);
    answerComplete = false;
    closeAfterAnswer = false;
    receivedBytes = 0;
    deliveredBytes = 0;
    parser.reset();
    HttpFields.Mutable requestHeaders = HttpFields.build(request.headers());
    if (request.body().length > 0 || request.method().equals("POST")) {
      requestHeaders.put(HttpHeader.CONTENT_LENGTH, Integer.toString(request.body().length));
    }
    boolean queued =
        output.write(
            HttpText.requestHead(request.method(), request.target(), requestHeaders),
            ByteBuffer.wrap(request.body()));
    if (queued) {
      answerListener.onSent();
    } else {
      loop.execute(() -> failRequest(new IOException("the upstream does not read")));
    }
  }

  @Override
  public void onFillable() {
    try {
      for (int reads = 0; !closed; reads++) {
        if (reads == MAX_READS_PER_TURN) {
          fillInterested(fillCallback);
          return;
        }
        int filledBytes = getEndPoint().fill(readBuffer);
        if (filledBytes < 0) {
          endOfInput();
          return;
        }
        if (filledBytes == 0) {
          fillInterested(fillCallback);
          return;
        }
        receivedBytes += filledBytes;
        parse();
        checkOverhead();
        answerMemory.grown(filledBytes);
      }
    } catch (IOException | RuntimeException e) {
      failRequest(e);
    }
  }

  private void parse() {
    while (!closed && readBuffer.hasRemaining()) {
      if (listener == null) {
        // Bytes that belong to no request: later answers could be attributed to the wrong one.
        close();
        return;
      }
      parser.parseNext(readBuffer);
      if (answerComplete) {
        finishAnswer();
      }
    }
    BufferUtil.clear(readBuffer);
  }

  private void checkOverhead() {
    if (listener != null && receivedBytes - 2 * deliveredBytes > MAX_OVERHEAD_BYTES) {
      failRequest(
          new AnswerTooLargeException(
              "what surrounds the answer's body", MAX_OVERHEAD_BYTES, "MAX_OVERHEAD_BYTES"));
    }
  }

  private void endOfInput() {
    if (listener == null) {
      close();
      return;
    }
    closeAfterAnswer = true;
    // The parser takes a body for whole whose last chunk is not followed by an empty line.
    if (parser.getState() != HttpParser.State.TRAILER) {
      parser.atEOF();
      parser.parseNext(BufferUtil.EMPTY_BUFFER);
    }
    if (!answerComplete) {
      failRequest(
          new EOFException("the upstream closed the connection before its answer was whole"));
    } else if (bodyEndsAtClose) {
      finishWhenRequestIsWritten();
    } else {
      finishAnswer();
    }
  }

  /**
   * Takes an answer that ends with its connection for whole when its request is written. The end of
   * the input looks the same if the connection was reset and a write has received the error.
   */
  private void finishWhenRequestIsWritten() {
    if (output.idle()) {
      finishAnswer();
    } else if (listener != null) {
      loop.after(WRITE_CHECK_INTERVAL, this::finishWhenRequestIsWritten);
    }
  }

  private void finishAnswer() {
    final UpstreamListener completedListener = takeListener();
    answerComplete = false;
    boolean reusable =
        !closeAfterAnswer
            && !bodyEndsAtClose
            && !readBuffer.hasRemaining()
            && output.idle()
            && !closed;
    if (reusable) {
      owner.onIdle(this);
    } else {
      close();
    }
    if (completedListener != null) {
      completedListener.onComplete();
    }
  }

  /** Ends the reading of the answer; returns its receiver, null if no request is in progress. */
  private @Nullable UpstreamListener takeListener() {
    UpstreamListener currentListener = listener;
    listener = null;
    return currentListener;
  }

  @Override
  public long bytes() {
    UpstreamListener receiver = listener;
    long headBytes = Math.min(receivedBytes - deliveredBytes, MAX_HEAD_BYTES);
    return receiver == null ? 0 : headBytes + receiver.bufferedBytes();
  }

  @Override
  public void discard() {
    failRequest(
        new AnswerTooLargeException(
            "the sum of all answers in progress",
            answerMemory.maxBytes(),
            GatewaySettings.MAX_BUFFERED_BYTES.key()));
  }

  private void failRequest(Throwable cause) {
    UpstreamListener failedListener = takeListener();
    close();
    if (failedListener != null) {
      failedListener.onFailure(true, cause);
    }
  }

  @Override
  public void close() {
    takeListener();
    if (!closed) {
      closed = true;
      owner.onClosed(this);
      answerMemory.remove(this);
      getEndPoint().close();
    }
  }

  /** Receives the parsed parts of answers. */
  private final class AnswerHandler implements HttpParser.ResponseHandler {
    private HttpFields.Mutable headers = HttpFields.build();
    private int status;

    @Override
    public void startResponse(HttpVersion version, int responseStatus, String reason) {
      status = responseStatus;
      headers = HttpFields.build();
      skippingAnswer = false;
      upstreamCloses = version != HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
      headers.add(field);
    }

    @Override
    public boolean headerComplete() {
      if (status == HttpStatus.SWITCHING_PROTOCOLS_101 || status > MAX_STATUS) {
        // No request asks for another protocol.
        failRequest(new IOException("the status " + status + " is none of an answer"));
        return true;
      }
      if (status < HttpStatus.OK_200) {
        skippingAnswer = true;
        return false;
      }
      String expectedAttemptId = attemptId;
      String answerAttemptId = headers.get(attemptIdHeader);
      if (expectedAttemptId != null
          && answerAttemptId != null
          && !expectedAttemptId.equals(answerAttemptId)) {
        // A second answer to an earlier request; the answer to this one may still follow.
        skippingAnswer = true;
        closeAfterAnswer = true;
        return false;
      }
      upstreamCloses |= headers.contains(HttpHeader.CONNECTION, "close");
      closeAfterAnswer |= upstreamCloses;
      bodyEndsAtClose =
          !headers.contains(HttpHeader.CONTENT_LENGTH)
              && !headers.contains(HttpHeader.TRANSFER_ENCODING)
              && status != 204
              && status != 304;
      usableUntil = loop.now() + reuseTime(headers).toNanos();
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
      if (!skippingAnswer && receiver != null) {
        deliveredBytes += bytes.length;
        try {
          receiver.onContent(bytes);
        } catch (AnswerTooLargeException e) {
          failRequest(e);
        }
      }
      return closed;
    }

    @Override
    public boolean contentComplete() {
      return false;
    }

    @Override
    public boolean messageComplete() {
      if (skippingAnswer) {
        parser.reset();
      } else {
        answerComplete = true;
      }
      return true;
    }

    @Override
    public void earlyEOF() {
      failRequest(new EOFException("the answer ended early"));
    }

    @Override
    public void badMessage(HttpException failure) {
      failRequest(new IOException("the bytes are no HTTP answer: " + failure.getReason()));
    }
  }

  private static Duration reuseTime(HttpFields headers) {
    String keepAliveValue = headers.get(HttpHeader.KEEP_ALIVE);
    if (keepAliveValue == null) {
      return DEFAULT_IDLE_TIMEOUT;
    }
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAliveValue.toLowerCase(Locale.ROOT));
    if (!matcher.find()) {
      return DEFAULT_IDLE_TIMEOUT;
    }
    Duration advertisedTimeout = Duration.ofSeconds(Long.parseLong(matcher.group(1)));
    return advertisedTimeout.compareTo(IDLE_TIMEOUT_MARGIN) > 0
        ? advertisedTimeout.minus(IDLE_TIMEOUT_MARGIN)
        : Duration.ZERO;
  }
}
