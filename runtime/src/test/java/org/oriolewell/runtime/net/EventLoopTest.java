package org.oriolewell.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.log.EventLog;

/** Guards against a process that goes on to accept connections although it can't serve them. */
class EventLoopTest {
  private final CompletableFuture<Error> fatal = new CompletableFuture<>();
  private final EventLoop loop =
      EventLoop.start(
          "test",
          EventLog.of("test", InstantSource.system()),
          Duration.ofSeconds(1),
          fatal::complete);

  @AfterEach
  void close() {
    loop.close();
  }

  @Test
  void classThatCannotBeLoadedIsFatal() throws Exception {
    Error cause = new NoClassDefFoundError("org/oriolewell/Gone");
    loop.execute(
        () -> {
          throw cause;
        });

    assertThat(fatal.get(5, TimeUnit.SECONDS)).isSameAs(cause);
  }

  @Test
  void connectionWhoseClassCannotBeLoadedIsFatal() throws Exception {
    Error cause = new NoClassDefFoundError("org/oriolewell/Connection");
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    EventLoop.Listener port =
        loop.listen(
            any,
            endPoint -> {
              throw cause;
            });
    try (Socket caller = new Socket()) {
      caller.connect(port.address());

      assertThat(fatal.get(5, TimeUnit.SECONDS)).isSameAs(cause);
    }
  }

  @Test
  void failedTaskEndsNothing() throws Exception {
    AtomicReference<String> next = new AtomicReference<>();
    CompletableFuture<String> ran = new CompletableFuture<>();
    loop.execute(
        () -> {
          throw new IllegalStateException("a defect");
        });
    loop.execute(
        () -> {
          next.set("next task");
          ran.complete(next.get());
        });

    assertThat(ran.get(5, TimeUnit.SECONDS)).isEqualTo("next task");
    assertThat(fatal).isNotDone();
  }
}
