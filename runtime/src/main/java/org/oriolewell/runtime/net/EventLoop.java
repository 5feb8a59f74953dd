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
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;

/**
 * Runs connections, timers and tasks one after another on the thread of one Jetty selector, so that
 * state that is only touched here needs no locks. Tasks must not block.
 */
public final class EventLoop implements AutoCloseable {
  /** Connections that may wait to be accepted; a burst of new callers must not lose packets. */
  private static final int ACCEPT_BACKLOG = 1024;

  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 2;

  /** A task that runs later. */
  @FunctionalInterface
  public interface Timer {
    /** Prevents the task from running. */
    void cancel();
  }

  /** Makes the connection of a new endpoint. */
  @FunctionalInterface
  public interface ConnectionFactory {
    /** Returns a connection; it is opened by the loop. */
    Connection connect(EndPoint endPoint);
  }

  private record Outgoing(ConnectionFactory factory, Consumer<Throwable> onFailure) {}

  private final QueuedThreadPool threads =
      new QueuedThreadPool(MAX_THREADS, MIN_THREADS) {
        @Override
        protected void onJobFailure(Throwable failure) {
          // Jetty's own code on these threads, such as the opening of an accepted connection.
          failed(failure);
        }
      };
  private final Scheduler scheduler = new ScheduledExecutorScheduler("timer", true);
  private final Selectors selectors;
  private final EventLog log;
  private final Consumer<Error> onFatal;
  private volatile @Nullable Thread owner;

  private EventLoop(String name, EventLog log, Duration connectTimeout, Consumer<Error> onFatal) {
    this.log = log;
    this.onFatal = onFatal;
    threads.setName(name);
    threads.setDaemon(true);
    selectors = new Selectors();
    selectors.setConnectTimeout(connectTimeout.toMillis());
  }

  /**
   * Starts a loop.
   *
   * @param connectTimeout longest time to open a connection
   * @param onFatal hears of an error after which no task can be trusted to run: a class that can't
   *     be loaded, or a failure of the virtual machine. The process should end, since it would go
   *     on to accept connections and answer none.
   */
  public static EventLoop start(
      String name, EventLog log, Duration connectTimeout, Consumer<Error> onFatal) {
    EventLoop loop = new EventLoop(name, log, connectTimeout, onFatal);
    try {
      loop.threads.start();
      loop.scheduler.start();
      loop.selectors.start();
    } catch (Exception e) {
      throw new IllegalStateException("the event loop cannot be started", e);
    }
    return loop;
  }

  /** Returns the monotonic time, in nanoseconds. */
  public long now() {
    return System.nanoTime();
  }

  /** Runs a task on the loop's thread, after what it does now; dropped once the loop is closed. */
  public void execute(Runnable task) {
    ManagedSelector selector = selectors.selector();
    if (selector != null) {
      selector.submit(ignored -> run(task));
    }
  }

  /** Runs a task at once if called on the loop's thread, else as {@link #execute}. */
  public void dispatch(Runnable task) {
    if (Thread.currentThread() == owner) {
      run(task);
    } else {
      execute(task);
    }
  }

  /** Runs a task after a delay. */
  public Timer after(Duration delay, Runnable task) {
    Scheduler.Task scheduled =
        scheduler.schedule(() -> execute(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
    return scheduled::cancel;
  }

  /** Runs a task again and again, with a pause after each run. */
  public Timer every(Duration interval, Runnable task) {
    return new Periodic(interval, task).begin();
  }

  private final class Periodic implements Timer {
    private final Duration interval;
    private final Runnable task;
    private volatile boolean canceled;

    private Periodic(Duration interval, Runnable task) {
      this.interval = interval;
      this.task = task;
    }

    private Periodic begin() {
      after(interval, this::fire);
      return this;
    }

    private void fire() {
      if (!canceled) {
        run(task);
        begin();
      }
    }

    @Override
    public void cancel() {
      canceled = true;
    }
  }

  private void run(Runnable task) {
    owner = Thread.currentThread();
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      failed(e);
    }
  }

  private void failed(Throwable failure) {
    StackTraceElement[] trace = failure.getStackTrace();
    log.event(RuntimeEvent.TASK_FAILED)
        .with("at", trace.length == 0 ? null : trace[0])
        .cause(failure)
        .write();
    if (failure instanceof LinkageError || failure instanceof VirtualMachineError) {
      onFatal.accept((Error) failure);
    }
  }

  /** A bound port. */
  public record Listener(InetSocketAddress address, Closeable acceptor, ServerSocketChannel channel)
      implements Closeable {
    @Override
    public void close() throws IOException {
      acceptor.close();
      channel.close();
    }
  }

  /**
   * Listens on an address.
   *
   * @param factory makes the connection of each caller
   * @throws IOException if the address can't be bound
   */
  public Listener listen(InetSocketAddress address, ConnectionFactory factory) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    channel.socket().setReuseAddress(true);
    channel.bind(address, ACCEPT_BACKLOG);
    channel.configureBlocking(false);
    selectors.incoming(channel, factory);
    Closeable acceptor = selectors.acceptor(channel);
    return new Listener((InetSocketAddress) channel.getLocalAddress(), acceptor, channel);
  }

  /**
   * Opens a connection.
   *
   * @param onFailure called on the loop if the connection can't be opened; nothing was sent then
   */
  public void connect(
      InetSocketAddress address, ConnectionFactory factory, Consumer<Throwable> onFailure) {
    try {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.socket().setTcpNoDelay(true);
      Outgoing outgoing = new Outgoing(factory, onFailure);
      if (channel.connect(address)) {
        selectors.accept(channel, outgoing);
      } else {
        selectors.connect(channel, outgoing);
      }
    } catch (IOException | RuntimeException e) {
      execute(() -> onFailure.accept(e));
    }
  }

  @Override
  public void close() {
    try {
      selectors.stop();
      scheduler.stop();
      threads.stop();
    } catch (Exception e) {
      log.event(RuntimeEvent.HANDLER_FAILED).cause(e).write();
    }
  }

  private final class Selectors extends SelectorManager {
    private final Map<SelectableChannel, ConnectionFactory> incoming = new ConcurrentHashMap<>();

    private Selectors() {
      super(threads, scheduler, 1);
    }

    private void incoming(ServerSocketChannel channel, ConnectionFactory factory) {
      incoming.put(channel, factory);
    }

    private @Nullable ManagedSelector selector() {
      return isRunning() ? chooseSelector() : null;
    }

    @Override
    protected @Nullable SelectableChannel doAccept(SelectableChannel server) throws IOException {
      SocketChannel channel = ((ServerSocketChannel) server).accept();
      ConnectionFactory factory = incoming.get(server);
      if (channel == null) {
        return null;
      }
      if (factory == null) {
        channel.close();
        return channel;
      }
      channel.configureBlocking(false);
      channel.socket().setTcpNoDelay(true);
      accept(channel, new Outgoing(factory, cause -> {}));
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
        return ((Outgoing) attachment).factory().connect(endPoint);
      } catch (Error e) {
        failed(e);
        throw e;
      }
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable cause, Object attachment) {
      execute(() -> ((Outgoing) attachment).onFailure().accept(cause));
    }
  }

  /**
   * An endpoint whose {@link #fill} fails if the peer reset the connection. Jetty's own one reports
   * a reset as an ordinary end, which would make a truncated answer without a length look whole.
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
        int filled = getChannel().read(buffer);
        if (filled > 0) {
          notIdle();
        } else if (filled == -1) {
          shutdownInput();
        }
        return filled;
      } finally {
        BufferUtil.flipToFlush(buffer, position);
      }
    }
  }
}
