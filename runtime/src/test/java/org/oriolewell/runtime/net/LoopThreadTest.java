package org.oriolewell.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.log.EventLog;

/** Guards against an overlap of tasks that nobody notices, and one that corrupts their state. */
class LoopThreadTest {
  @Test
  void overlapIsCountedAndTheTaskWaits() throws Exception {
    AtomicLong overlapCount = new AtomicLong();
    LoopThread loopThread =
        new LoopThread(
            "test",
            () -> {},
            EventLog.of("test", InstantSource.system()),
            error -> {},
            overlapCount);
    List<String> order = new CopyOnWriteArrayList<>();
    CountDownLatch firstStarted = new CountDownLatch(1);
    Thread first =
        new Thread(
            () ->
                loopThread.run(
                    () -> {
                      firstStarted.countDown();
                      while (overlapCount.get() == 0) {
                        Thread.onSpinWait();
                      }
                      order.add("first");
                    }));
    first.start();
    firstStarted.await();
    loopThread.run(() -> order.add("second"));
    first.join();

    assertThat(order).containsExactly("first", "second");
    assertThat(overlapCount).hasValue(1);
  }
}
