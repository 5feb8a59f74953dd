package org.oriolewell.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.eclipse.jetty.io.AbstractConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.log.EventLog;

/** Guards against a process that keeps accepting connections after a fatal error. */
class EventLoopTest {
  private final CompletableFuture<Error> fatalError = new CompletableFuture<>();
  private final EventLoop loop =
      EventLoop.start(
          "test",
          EventLog.of("test", InstantSource.system()),
          Duration.ofSeconds(1),
          fatalError::complete);

  @AfterEach
  void close() {
    loop.close();
  }

  @Test
  void taskWhoseClassCannotBeLoadedIsFatal() throws Exception {
    Error loadError = new NoClassDefFoundError("org/oriolewell/Gone");
    loop.execute(
        () -> {
          throw loadError;
        });

    assertThat(fatalError.get(5, TimeUnit.SECONDS)).isSameAs(loadError);
  }

  /**
   * Guards against a connection that is closed by its old idle timer after a request was read from
   * it.
   */
  @Test
  void timerThatIsCanceledOnTheLoopDoesNotRunEvenIfItIsDue() throws Exception {
    CompletableFuture<Void> dueTimerCanceled = new CompletableFuture<>();
    AtomicInteger runs = new AtomicInteger();
    loop.execute(
        () -> {
          EventLoop.Timer timer = loop.after(Duration.ofMillis(1), runs::incrementAndGet);
          LockSupport.parkNanos(Duration.ofMillis(100).toNanos());
          timer.cancel();
          loop.execute(() -> loop.execute(() -> dueTimerCanceled.complete(null)));
        });
    dueTimerCanceled.get(5, TimeUnit.SECONDS);

    assertThat(runs).hasValue(0);
  }

  @Test
  void connectionWhoseClassCannotBeLoadedIsFatal() throws Exception {
    Error loadError = new NoClassDefFoundError("org/oriolewell/Connection");
    InetSocketAddress anyFreePort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    EventLoop.Listener listener =
        loop.listen(
            anyFreePort,
            endPoint -> {
              throw loadError;
            });
    try (Socket callerSocket = new Socket()) {
      callerSocket.connect(listener.address());

      assertThat(fatalError.get(5, TimeUnit.SECONDS)).isSameAs(loadError);
    }
  }

  @Test
  void failedTaskDoesNotStopTheLoop() throws Exception {
    AtomicReference<String> executedTask = new AtomicReference<>();
    CompletableFuture<String> nextTaskDone = new CompletableFuture<>();
    loop.execute(
        () -> {
          throw new IllegalStateException("task failure");
        });
    loop.execute(
        () -> {
          executedTask.set("next task");
          nextTaskDone.complete(executedTask.get());
        });

    assertThat(nextTaskDone.get(5, TimeUnit.SECONDS)).isEqualTo("next task");
    assertThat(fatalError).isNotDone();
  }

  /** Guards against work of a task that is put off, or done twice, when it dispatches more. */
  @Test
  void taskThatDispatchesRunsTheOtherWithinItself() throws Exception {
    List<String> order = new CopyOnWriteArrayList<>();
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          loop.execute(() -> order.add("queued"));
          loop.execute(() -> done.complete(null));
          loop.dispatch(() -> loop.dispatch(() -> order.add("inner")));
          order.add("outer");
        });
    done.get(5, TimeUnit.SECONDS);

    assertThat(order).containsExactly("inner", "outer", "queued");
  }

  @Test
  void tasksOfAnotherThreadKeepTheirOrder() throws Exception {
    List<Integer> order = new CopyOnWriteArrayList<>();
    CompletableFuture<Void> done = new CompletableFuture<>();
    IntStream.range(0, 1000).forEach(number -> loop.dispatch(() -> order.add(number)));
    loop.dispatch(() -> done.complete(null));
    done.get(5, TimeUnit.SECONDS);

    assertThat(order).containsExactlyElementsOf(IntStream.range(0, 1000).boxed().toList());
  }

  /** Guards against a notice of the end that runs within the task that closes the connection. */
  @Test
  void taskThatClosesItsOwnConnectionEndsBeforeTheNotice() throws Exception {
    List<String> order = new CopyOnWriteArrayList<>();
    CompletableFuture<Void> done = new CompletableFuture<>();
    EventLoop.Listener listener =
        loop.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            endPoint ->
                new AbstractConnection(endPoint, loop::execute) {
                  @Override
                  public void onOpen() {
                    super.onOpen();
                    getEndPoint().close();
                    order.add("closed");
                  }

                  @Override
                  public void onFillable() {}

                  @Override
                  public void onClose(Throwable cause) {
                    order.add("notice");
                    done.complete(null);
                  }
                });
    try (Socket callerSocket = new Socket()) {
      callerSocket.connect(listener.address());
      done.get(5, TimeUnit.SECONDS);
    }

    assertThat(order).containsExactly("closed", "notice");
  }

  /** Guards against tasks that use closed components, and a stop that waits for itself. */
  @Test
  void noTaskRunsAfterTheLoopIsClosed() throws Exception {
    AtomicInteger runs = new AtomicInteger();
    loop.every(Duration.ofNanos(1), runs::incrementAndGet);
    loop.execute(loop::close);
    loop.close();
    final int runsAtEnd = runs.get();
    loop.execute(runs::incrementAndGet);
    loop.dispatch(runs::incrementAndGet);
    LockSupport.parkNanos(Duration.ofMillis(20).toNanos());

    assertThat(runs).hasValue(runsAtEnd);
    assertThat(fatalError).isNotDone();
  }
}
