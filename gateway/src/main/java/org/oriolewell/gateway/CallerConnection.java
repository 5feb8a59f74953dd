package org.oriolewell.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.Executor;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.overload.BufferBudget;
import org.oriolewell.core.overload.CallerHolding;
import org.oriolewell.core.overload.CallerHolding.Kind;
import org.oriolewell.core.route.CallerLimits;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.net.OutputQueue;

/**
 * An HTTP/1.1 connection of a caller. Requests are read completely, one at a time, and answered in
 * order. The connection keeps reading while a request is in progress, so that a caller that
 * disconnects is noticed at once, even before any byte of the answer was written. It is not read
 * while the process has too little memory for it, or while the caller doesn't read its answers.
 */
final class CallerConnection extends AbstractConnection
    implements BufferBudget.Buffer, CallerPressure.Holder {
  /** Input that is parsed in one turn, after which other connections have theirs. */
  private static final int MAX_BYTES_PER_TURN = 64 << 10;

  /** Chunks that are parsed in one turn; a chunk costs about as much as 100 bytes. */
  private static final int MAX_CHUNKS_PER_TURN = 512;

  /** Reads in a row without a bound on their bytes: input that is discarded or read ahead. */
  private static final int MAX_READS_PER_TURN = 16;

  /** Most output that is queued for a slow caller; beyond it the connection is closed. */
  private static final long MAX_QUEUED_OUTPUT_BYTES = 4 << 20;

  /** Memory of an idle connection: its endpoint, parser and selection key. */
  private static final long CONNECTION_BYTES = 6 << 10;

  /** Handles the requests on the connections of one listening port. */
  interface Handler {
    /** Called for each complete request; the handler must end the exchange. */
    void onRequest(CallerExchange exchange);

    /** Returns the current limits on sizes and times of requests. */
    CallerLimits limits();

    /** Returns whether connections should close after the next answer, as in a planned stop. */
    boolean stopping();

    /** Called when a caller has connected. */
    void onOpened(CallerConnection connection);

    /** Called once when a connection is closed by either side. */
    void onClosed(CallerConnection connection);

    /** Returns the workspace of a request; empty if it is not known. */
    default String workspaceOf(HttpFields headers) {
      return "";
    }
  }

  private final EventLoop loop;
  private final Handler handler;
  private final CallerResources resources;
  private final CallerPressure pressure;
  private final CallerHolding holding;
  private final OutputQueue output;
  private final LastOutput lastOutput;
  private final RequestAssembler assembler;
  private final CallerInput input = new CallerInput();
  private final RequestParser parser;
  private final UnreadOutput unreadOutput;
  private final SingleTimer timer;
  private final Callback fillCallback;
  private @Nullable CallerExchange exchange;
  private long idleSince;
  private boolean closed;
  private boolean readRequested;
  private boolean turnQueued;
  private boolean paused;
  private boolean inputEnded;

  CallerConnection(
      EndPoint endPoint, Executor executor, Handler handler, CallerResources resources) {
    super(endPoint, executor);
    this.loop = resources.loop();
    this.handler = handler;
    this.resources = resources;
    this.pressure = resources.pressure();
    this.output =
        new OutputQueue(endPoint, MAX_QUEUED_OUTPUT_BYTES, cause -> loop.dispatch(this::close));
    this.unreadOutput = new UnreadOutput(output);
    this.timer = new SingleTimer(loop);
    this.fillCallback = new LoopCallback(loop, this::onFillable, this::close);
    this.lastOutput = new LastOutput(loop, endPoint, output, timer, this::close);
    this.assembler = new RequestAssembler(new Assembled(), loop, resources.bodyRate());
    this.parser = new RequestParser(assembler, input, handler.limits().maxHeaderBytes());
    this.holding = CallerHolding.of(pressure.memory(), loop.now());
  }

  @Override
  public void onOpen() {
    super.onOpen();
    loop.execute(
        () -> {
          handler.onOpened(this);
          resources.answers().add(this);
          pressure.open(holding, this);
          holding.set(Kind.CONNECTION, CONNECTION_BYTES, loop.now());
          startIdleTimer();
          read();
        });
  }

  /** Waits for input, unless reading is paused. */
  private void read() {
    if (closed || inputEnded || readRequested || turnQueued) {
      return;
    }
    if (mayRead()) {
      readRequested = true;
      fillInterested(fillCallback);
    } else if (!paused && (exchange == null || !input.full())) {
      pause();
    }
  }

  private boolean mayRead() {
    return !closed
        && !inputEnded
        && (lastOutput.begun()
            || (!input.full()
                && !(exchange == null && unreadOutput.excessive())
                && pressure.memory().mayRead(holding)));
  }

  private void pause() {
    paused = true;
    holding.pause(loop.now());
    unreadOutput.observe(loop.now());
    pressure.pause(this);
  }

  @Override
  public void resume() {
    if (closed) {
      return;
    }
    long now = loop.now();
    if (exchange == null && unreadOutput.stuck(handler.limits().idleTimeout(), now)) {
      discard();
      return;
    }
    if (!mayRead()) {
      pressure.pause(this);
      return;
    }
    paused = false;
    assembler.postpone(holding.resume(now));
    resources.turns().take(this::takeTurn);
  }

  /**
   * Reads what has arrived without waiting for the selector, so that a caller that has disconnected
   * is noticed even if the event loop is behind.
   *
   * @return whether everything was read that had arrived
   */
  boolean readArrivedInput() {
    boolean allRead = !paused && fill();
    updateHolding();
    queueTurn(!allRead && !paused);
    return allRead;
  }

  private void queueTurn(boolean needed) {
    if (needed && !turnQueued && !closed) {
      turnQueued = true;
      resources.turns().takeLater(this::takeQueuedTurn);
    }
  }

  @Override
  public void onFillable() {
    readRequested = false;
    resources.turns().take(this::takeTurn);
  }

  private void takeQueuedTurn() {
    turnQueued = false;
    takeTurn();
  }

  /** Reads and parses a bounded part of the input. */
  private void takeTurn() {
    if (closed || turnQueued) {
      return;
    }
    boolean allRead = fill();
    updateHolding();
    pressure.check();
    if (!allRead && mayRead()) {
      queueTurn(true);
    } else {
      read();
    }
  }

  /** Reads and parses a bounded part of the input; returns whether nothing is left of it. */
  private boolean fill() {
    assembler.startTurn(MAX_CHUNKS_PER_TURN);
    int remainingBytes = MAX_BYTES_PER_TURN;
    try {
      parse();
      for (int reads = 0; reads < MAX_READS_PER_TURN && mayRead(); reads++) {
        if (remainingBytes <= 0 || assembler.yielding()) {
          return false;
        }
        int filledBytes = input.fill(getEndPoint());
        if (filledBytes < 0) {
          onInputEnded();
          return true;
        } else if (filledBytes == 0) {
          return !assembler.yielding() || input.empty();
        }
        remainingBytes -= filledBytes;
        if (lastOutput.begun()) {
          lastOutput.discard(input.buffer().remaining());
          input.clear();
        } else {
          parse();
        }
      }
    } catch (IOException | RuntimeException e) {
      close();
    }
    return closed || inputEnded;
  }

  private void onInputEnded() {
    if (lastOutput.begun() && !output.idle()) {
      inputEnded = true;
    } else {
      close();
    }
  }

  private void parse() {
    parser.parse(handler.limits().maxHeaderBytes(), this::mayParse);
  }

  private boolean mayParse() {
    return !closed
        && exchange == null
        && !lastOutput.begun()
        && !assembler.yielding()
        && !unreadOutput.excessive();
  }

  /** Brings the account of this connection up to date. */
  private void updateHolding() {
    if (exchange != null || !assembler.started()) {
      input.releaseIfEmpty();
    }
    long now = loop.now();
    holding.received(assembler.contentBytesOfTurn(), now);
    holding.set(Kind.UNPARSED, input.capacity(), now);
    holding.set(Kind.HEAD, assembler.headMemory(), now);
    holding.set(Kind.BODY, assembler.bodyMemory(), now);
    CallerExchange current = exchange;
    holding.set(Kind.RUNNING, current == null ? 0 : current.request().body().length, now);
  }

  /** Closes the connection; a request in progress is canceled, as its answer has no recipient. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    timer.stop();
    handler.onClosed(this);
    resources.answers().remove(this);
    pressure.close(holding);
    input.clear();
    assembler.refuse();
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
    holding.begin(idleSince);
    timer.start(handler.limits().idleTimeout(), this::onIdleTimer);
  }

  private void onIdleTimer() {
    long limitNanos = handler.limits().idleTimeout().toNanos();
    long remainingNanos = limitNanos - (loop.now() - idleSince);
    if (remainingNanos > 0) {
      timer.start(Duration.ofNanos(remainingNanos), this::onIdleTimer);
    } else if (paused) {
      // Input that has arrived can't be read now, and may be the next request.
      timer.start(handler.limits().idleTimeout(), this::onIdleTimer);
    } else {
      closeIfIdle();
    }
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

  /** Returns when the connection was opened, or its last answer ended, in monotonic nanoseconds. */
  long idleSince() {
    return idleSince;
  }

  /** Returns whether no request is being answered and none has arrived even in part. */
  boolean idle() {
    return exchange == null && !assembler.started() && !lastOutput.begun() && input.empty();
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
    resources.answers().grown(addedBytes);
    return !closed;
  }

  @Override
  public long bytes() {
    return output.queuedBytes();
  }

  @Override
  public void discard() {
    pressure.losses().lost("answers not read", "");
    close();
  }

  /** Ends the current exchange, and reads the next request or closes the connection. */
  void exchangeEnded(boolean keepOpen) {
    exchange = null;
    assembler.clear();
    if (closed) {
      return;
    }
    if (!keepOpen || parser.ended()) {
      closeAfterLastOutput();
      return;
    }
    parser.reset();
    startIdleTimer();
    updateHolding();
    if (input.empty()) {
      read();
    } else {
      queueTurn(true);
    }
  }

  /** Closes the connection when its output is written and its input has ended or was discarded. */
  private void closeAfterLastOutput() {
    assembler.refuse();
    input.clear();
    updateHolding();
    holding.begin(loop.now());
    lastOutput.begin(() -> inputEnded);
    read();
  }

  private void refuseAndClose(int status) {
    write(HttpText.refusalHead(status));
    closeAfterLastOutput();
  }

  @Override
  public String giveUp() {
    if (closed || exchange != null) {
      return "";
    }
    String workspace = handler.workspaceOf(assembler.headers());
    if (lastOutput.begun() || idle()) {
      pressure.losses().lost("connection", workspace);
      close();
    } else if (assembler.started()) {
      pressure.losses().lost("request not read whole", workspace);
      refuseAndClose(503);
    } else {
      pressure.losses().lost("pipelined requests", workspace);
      closeAfterLastOutput();
    }
    return workspace;
  }

  /** Carries out what the assembler of requests reports. */
  private final class Assembled implements RequestAssembler.Receiver {
    @Override
    public void onBegin() {
      holding.begin(loop.now());
    }

    @Override
    public void onComplete(CallerRequest request, boolean closeAfterAnswer) {
      CallerExchange newExchange =
          CallerExchange.of(CallerConnection.this, request, closeAfterAnswer);
      exchange = newExchange;
      holding.run();
      loop.execute(() -> handle(newExchange));
    }

    @Override
    public void onRefused(int status, String reason) {
      if (closed || lastOutput.begun()) {
        return;
      }
      if (status == 408) {
        pressure.losses().lost(reason, handler.workspaceOf(assembler.headers()));
      }
      refuseAndClose(status);
    }

    @Override
    public void onContinueExpected() {
      write(HttpText.responseHead(100, HttpFields.EMPTY));
    }

    @Override
    public boolean readArrived() {
      return readArrivedInput();
    }

    @Override
    public void startTimer(Duration delay, Runnable task) {
      timer.start(delay, task);
    }

    @Override
    public void stopTimer() {
      timer.stop();
    }

    @Override
    public CallerLimits limits() {
      return handler.limits();
    }
  }

  /** Returns whether the connection should be closed after the current answer. */
  boolean stopping() {
    return handler.stopping();
  }
}
