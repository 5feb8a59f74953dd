package org.oriolewell.runtime.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;

/**
 * An event loop that runs connections, timers and tasks one after another, so that state which only
 * the loop accesses needs no locks. Tasks must not block.
 *
 * <p>The loop has one thread, which runs a Jetty selector. Jetty's own jobs, such as opening an
 * accepted connection or reading from one, are tasks of the loop, too; docs/design/event-loop.md
 * compares this with other designs.
 */
public final class EventLoop implements AutoCloseable {
  /** Connections that may wait to be accepted, so that a burst of new callers loses no packets. */
  private static final int ACCEPT_BACKLOG = 1024;

  /** Tasks of any loop of the process that were to run beside another one of the same loop. */
  private static final AtomicLong OVERLAP_COUNT = new AtomicLong();

  /** A scheduled task that can be canceled. */
  @FunctionalInterface
  public interface Timer {
    /**
     * Cancels the task. If called on the loop's thread, the task does not run afterwards, even if
     * its time has come already; otherwise a run that is in progress may still happen.
     */
    void cancel();
  }

  /** Creates the protocol connection of a newly opened endpoint. */
  @FunctionalInterface
  public interface ConnectionFactory {
    /** Returns the connection for an endpoint; the event loop opens it. */
    Connection connect(EndPoint endPoint);
  }

  /** Decides whether a listener accepts connections. Called on any thread of the event loop. */
  public interface AcceptGate {
    /** Gate that is always open. */
    AcceptGate OPEN =
        new AcceptGate() {
          @Override
          public boolean mayAccept() {
            return true;
          }

          @Override
          public void nothingAccepted() {}
        };

    /**
     * Returns whether one more connection may be accepted. If not, the listener accepts none until
     * {@link EventLoop#resumeAccepting}.
     */
    boolean mayAccept();

    /** Called if no connection was accepted although one was allowed. */
    void nothingAccepted();
  }

  private record PendingConnection(ConnectionFactory factory, Consumer<Throwable> onFailure) {}

  private final Scheduler scheduler = new ScheduledExecutorScheduler("timer", true);
  private final LoopSelectorManager selectorManager;
  private final EventLog log;
  private final LoopThread thread;
  private volatile @Nullable Runnable selectLoop;

  private EventLoop(String name, EventLog log, Duration connectTimeout, Consumer<Error> onFatal) {
    this.log = log;
    thread = new LoopThread(name, this::runSelectLoop, log, onFatal, OVERLAP_COUNT);
    selectorManager = new LoopSelectorManager();
    selectorManager.setConnectTimeout(connectTimeout.toMillis());
  }

  /**
   * Starts an event loop.
   *
   * @param name name of the loop's thread
   * @param connectTimeout longest time that opening a connection may take
   * @param onFatal called with an error after which tasks can no longer run reliably: a class that
   *     can't be loaded, or a failure of the virtual machine. The process should end, since it
   *     would otherwise go on to accept connections without answering any.
   */
  public static EventLoop start(
      String name, EventLog log, Duration connectTimeout, Consumer<Error> onFatal) {
    EventLoop loop = new EventLoop(name, log, connectTimeout, onFatal);
    try {
      loop.scheduler.start();
      loop.selectorManager.start();
    } catch (Exception e) {
      throw new IllegalStateException("the event loop cannot be started", e);
    }
    return loop;
  }

  /**
   * Returns the number of tasks of all loops of the process that were to run beside another one of
   * the same loop, and were held back. Any number above 0 shows a defect of the loop.
   */
  public static long overlapCount() {
    return OVERLAP_COUNT.get();
  }

  /** Returns the monotonic time of {@link System#nanoTime}, in nanoseconds. */
  public long now() {
    return System.nanoTime();
  }

  /**
   * Queues a task to run on the loop's thread, after those that were queued before. The task is
   * discarded if the loop is closed.
   */
  public void execute(Runnable task) {
    ManagedSelector selector = selectorManager.selector();
    if (selector != null) {
      selector.submit(ignored -> thread.run(task));
    }
  }

  /**
   * Runs a task at once if called on the loop's thread; otherwise queues it by {@link #execute}.
   * Tasks that one source passes to this method run in their order; a task that runs at once
   * overtakes those that were queued by {@link #execute}.
   */
  public void dispatch(Runnable task) {
    if (thread.isCurrent()) {
      thread.run(task);
    } else {
      execute(task);
    }
  }

  private void runSelectLoop() {
    Runnable currentLoop = selectLoop;
    if (currentLoop != null) {
      currentLoop.run();
    }
  }

  /**
   * Runs a job of Jetty as a task of the loop. The first job is the one that selects, whose end is
   * the end of the loop. A job that begins while no task runs needs no further selection.
   */
  private void runJettyJob(Runnable job) {
    if (selectLoop == null) {
      selectLoop = job;
      thread.start();
    } else if (thread.isCurrent() && !thread.inTask()) {
      thread.run(job);
    } else {
      selectorManager.submit(() -> thread.run(job));
    }
  }

  /** Runs a task once on the loop's thread after a delay. */
  public Timer after(Duration delay, Runnable task) {
    return new OneShotTimer(task).schedule(delay);
  }

  private final class OneShotTimer implements Timer {
    private final Runnable task;
    private Scheduler.@Nullable Task scheduledTask;
    private volatile boolean canceled;

    private OneShotTimer(Runnable task) {
      this.task = task;
    }

    private OneShotTimer schedule(Duration delay) {
      scheduledTask =
          scheduler.schedule(
              () -> execute(this::runUnlessCanceled),
              Math.max(0, delay.toNanos()),
              TimeUnit.NANOSECONDS);
      return this;
    }

    private void runUnlessCanceled() {
      if (!canceled) {
        task.run();
      }
    }

    @Override
    public void cancel() {
      // The scheduler can't withdraw a run that it has already queued on the loop.
      canceled = true;
      Scheduler.Task currentTask = scheduledTask;
      if (currentTask != null) {
        currentTask.cancel();
      }
    }
  }

  /** Runs a task repeatedly on the loop's thread, waiting for the interval before each run. */
  public Timer every(Duration interval, Runnable task) {
    return new PeriodicTimer(interval, task).scheduleNextRun();
  }

  private final class PeriodicTimer implements Timer {
    private final Duration interval;
    private final Runnable task;
    private volatile boolean canceled;

    private PeriodicTimer(Duration interval, Runnable task) {
      this.interval = interval;
      this.task = task;
    }

    private PeriodicTimer scheduleNextRun() {
      after(interval, this::runAndReschedule);
      return this;
    }

    private void runAndReschedule() {
      if (!canceled) {
        thread.run(task);
        scheduleNextRun();
      }
    }

    @Override
    public void cancel() {
      canceled = true;
    }
  }

  /**
   * A bound port that accepts connections until it is closed; those that wait to be accepted at
   * that time are accepted.
   *
   * @param address bound address with the actual port
   * @param acceptor stops the acceptance of connections when closed
   * @param channel server socket of the port
   */
  public record Listener(InetSocketAddress address, Closeable acceptor, ServerSocketChannel channel)
      implements Closeable {
    @Override
    public void close() throws IOException {
      acceptor.close();
      channel.close();
    }
  }

  /**
   * Binds an address and accepts connections on it.
   *
   * @param factory creates the protocol connection of each accepted endpoint
   * @throws IOException if the address can't be bound
   */
  public Listener listen(InetSocketAddress address, ConnectionFactory factory) throws IOException {
    return listen(address, factory, AcceptGate.OPEN);
  }

  /**
   * Binds an address and accepts connections on it while a gate allows it.
   *
   * @param factory creates the protocol connection of each accepted endpoint
   * @throws IOException if the address can't be bound
   */
  public Listener listen(InetSocketAddress address, ConnectionFactory factory, AcceptGate gate)
      throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    channel.socket().setReuseAddress(true);
    channel.bind(address, ACCEPT_BACKLOG);
    channel.configureBlocking(false);
    selectorManager.registerServer(channel, factory, gate);
    return new Listener(
        (InetSocketAddress) channel.getLocalAddress(),
        () -> {
          selectorManager.pauseAccepting(channel);
          selectorManager.acceptWaiting(channel);
        },
        channel);
  }

  /** Accepts connections again after the gate of a listener has stopped that. */
  public void resumeAccepting(Listener listener) {
    if (listener.channel().isOpen()) {
      selectorManager.startAccepting(listener.channel());
    }
  }

  /**
   * Opens an outgoing connection.
   *
   * @param onFailure called on the loop's thread if the connection can't be opened, in which case
   *     nothing was sent
   */
  public void connect(
      InetSocketAddress address, ConnectionFactory factory, Consumer<Throwable> onFailure) {
    try {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.socket().setTcpNoDelay(true);
      PendingConnection pendingConnection = new PendingConnection(factory, onFailure);
      if (channel.connect(address)) {
        selectorManager.accept(channel, pendingConnection);
      } else {
        selectorManager.connect(channel, pendingConnection);
      }
    } catch (IOException | RuntimeException e) {
      execute(() -> onFailure.accept(e));
    }
  }

  /**
   * Closes all connections and ends the loop. Returns when no task runs any more, except if called
   * by a task of the loop, which ends afterwards.
   */
  @Override
  public void close() {
    thread.stopping();
    if (thread.isCurrent()) {
      // The loop's thread closes the connections, so it can't wait for that.
      Thread closer = new Thread(this::stop, "event-loop-close");
      closer.setDaemon(true);
      closer.start();
    } else {
      stop();
    }
  }

  private void stop() {
    try {
      selectorManager.stop();
      scheduler.stop();
      thread.join();
    } catch (Exception e) {
      log.event(RuntimeEvent.HANDLER_FAILED).cause(e).write();
    }
  }

  private final class LoopSelectorManager extends SelectorManager {
    private final Map<SelectableChannel, ConnectionFactory> factoriesByServer =
        new ConcurrentHashMap<>();
    private volatile @Nullable ManagedSelector onlySelector;

    private LoopSelectorManager() {
      super(EventLoop.this::runJettyJob, scheduler, 1);
    }

    @Override
    protected ManagedSelector newSelector(int id) {
      onlySelector = super.newSelector(id);
      return onlySelector;
    }

    /** Runs an action on the selecting thread, also while the loop is being closed. */
    private void submit(Runnable action) {
      ManagedSelector selector = onlySelector;
      if (selector != null) {
        selector.submit(ignored -> action.run());
      }
    }

    private final Map<SelectableChannel, AcceptGate> gatesByServer = new ConcurrentHashMap<>();
    private final Map<SelectableChannel, Closeable> acceptorsByServer = new ConcurrentHashMap<>();

    private void registerServer(
        ServerSocketChannel channel, ConnectionFactory factory, AcceptGate gate) {
      factoriesByServer.put(channel, factory);
      gatesByServer.put(channel, gate);
      startAccepting(channel);
    }

    private void startAccepting(ServerSocketChannel channel) {
      acceptorsByServer.computeIfAbsent(channel, this::acceptor);
    }

    private void pauseAccepting(SelectableChannel channel) throws IOException {
      Closeable acceptor = acceptorsByServer.remove(channel);
      if (acceptor != null) {
        acceptor.close();
      }
    }

    private void acceptWaiting(ServerSocketChannel channel) throws IOException {
      while (doAccept(channel) != null) {
        // doAccept has registered a connection; the next one may wait.
      }
    }

    private @Nullable ManagedSelector selector() {
      return isRunning() ? onlySelector : null;
    }

    @Override
    protected @Nullable SelectableChannel doAccept(SelectableChannel serverChannel)
        throws IOException {
      AcceptGate gate = gatesByServer.getOrDefault(serverChannel, AcceptGate.OPEN);
      if (!gate.mayAccept()) {
        pauseAccepting(serverChannel);
        return null;
      }
      SocketChannel channel = ((ServerSocketChannel) serverChannel).accept();
      ConnectionFactory factory = factoriesByServer.get(serverChannel);
      if (channel == null) {
        gate.nothingAccepted();
        return null;
      }
      if (factory == null) {
        channel.close();
        return channel;
      }
      channel.configureBlocking(false);
      channel.socket().setTcpNoDelay(true);
      accept(channel, new PendingConnection(factory, cause -> {}));
      return channel;
    }

    @Override
    protected void accepted(SelectableChannel channel) {
      // doAccept has already registered the channel together with its factory.
    }

    @Override
    protected EndPoint newEndPoint(
        SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
      SocketChannelEndPoint endPoint =
          new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
      endPoint.setIdleTimeout(0);
      return endPoint;
    }

    @Override
    public Connection newConnection(
        SelectableChannel channel, EndPoint endPoint, Object attachment) {
      try {
        return ((PendingConnection) attachment).factory().connect(endPoint);
      } catch (Error e) {
        thread.handleFailure(e);
        throw e;
      }
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable cause, Object attachment) {
      execute(() -> ((PendingConnection) attachment).onFailure().accept(cause));
    }
  }

  /**
   * An endpoint whose {@link #fill} fails if the peer reset the connection. Jetty's own endpoint
   * reports a reset as the end of input, which would make a truncated answer without a
   * Content-Length look complete.
   */
  private static final class ResetAwareEndPoint extends SocketChannelEndPoint {
    private ResetAwareEndPoint(
        SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
      super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
      if (isInputShutdown()) {
        return -1;
      }
      int position = BufferUtil.flipToFill(buffer);
      try {
        int bytesRead = getChannel().read(buffer);
        if (bytesRead > 0) {
          notIdle();
        } else if (bytesRead == -1) {
          shutdownInput();
        }
        return bytesRead;
      } finally {
        BufferUtil.flipToFlush(buffer, position);
      }
    }
  }
}
