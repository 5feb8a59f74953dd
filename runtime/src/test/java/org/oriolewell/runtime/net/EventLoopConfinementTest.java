package org.oriolewell.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/** Guards against tasks of one event loop that run at the same time on two threads. */
class EventLoopConfinementTest {
  private static final int LOOPS = 3;
  private static final int ROUNDS_PER_LINK = 40;
  private static final int MESSAGES_PER_ROUND = 10;

  private final AtomicInteger tasks = new AtomicInteger();
  private final AtomicInteger overlaps = new AtomicInteger();
  private final CountDownLatch linksDone = new CountDownLatch(LOOPS * (LOOPS - 1));
  private final List<Member> members = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    for (int i = 0; i < LOOPS; i++) {
      members.add(new Member(i));
    }
  }

  @AfterEach
  void stop() {
    members.forEach(member -> member.loop.close());
  }

  @Test
  @Timeout(60)
  void tasksOfOneLoopNeverOverlap() throws Exception {
    for (Member member : members) {
      member.loop.every(Duration.ofMillis(1), member.checked(() -> {}));
      for (Member peer : members) {
        if (peer != member) {
          member.loop.execute(member.checked(() -> new Link(member, peer).connect()));
        }
      }
    }
    while (!linksDone.await(1, TimeUnit.MILLISECONDS)) {
      for (Member member : members) {
        member.loop.dispatch(member.checked(() -> {}));
        new Socket(member.address().getAddress(), member.address().getPort()).close();
      }
    }

    assertThat(overlaps).as("overlapping tasks of %s", tasks).hasValue(0);
  }

  /** One of the loops, with a port that answers messages. */
  private final class Member {
    private final EventLoop loop;
    private final EventLoop.Listener listener;
    private final AtomicReference<@Nullable Thread> owner = new AtomicReference<>();

    Member(int number) throws Exception {
      loop =
          EventLoop.start(
              "loop-" + number,
              EventLog.of("test", InstantSource.system()),
              Duration.ofSeconds(5),
              error -> {});
      listener =
          loop.listen(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
              endPoint -> WireConnection.of(endPoint, loop::execute, new Answering(), 1 << 16));
    }

    private InetSocketAddress address() {
      return listener.address();
    }

    /** Returns a task that counts an overlap with another task of this loop. */
    private Runnable checked(Runnable task) {
      return () -> {
        tasks.incrementAndGet();
        Thread thread = Thread.currentThread();
        Thread other = owner.compareAndExchange(null, thread);
        if (other != null && other != thread) {
          overlaps.incrementAndGet();
        }
        LockSupport.parkNanos(1_000);
        task.run();
        if (other == null) {
          owner.compareAndSet(thread, null);
        }
      };
    }

    private final class Answering implements WireConnection.Listener {
      @Override
      public void onOpened(WireConnection connection) {
        loop.dispatch(checked(() -> {}));
      }

      @Override
      public void onMessage(WireConnection connection, Message message) {
        Message answer = new Message.Pong(0, 0, Message.Load.NONE, Map.of());
        loop.dispatch(checked(() -> connection.send(answer)));
      }

      @Override
      public void onClosed(WireConnection connection, @Nullable Throwable cause) {
        loop.dispatch(checked(() -> {}));
      }
    }
  }

  /** Connections that one loop opens to another, one after another. */
  private final class Link implements WireConnection.Listener {
    private final Member from;
    private final Member to;
    private int rounds;
    private int answers;

    Link(Member from, Member to) {
      this.from = from;
      this.to = to;
    }

    private void connect() {
      answers = 0;
      from.loop.connect(
          to.address(),
          endPoint -> WireConnection.of(endPoint, from.loop::execute, this, 1 << 16),
          failure -> linksDone.countDown());
    }

    @Override
    public void onOpened(WireConnection connection) {
      from.loop.dispatch(from.checked(() -> ping(connection)));
    }

    private void ping(WireConnection connection) {
      connection.send(new Message.Ping(0, 0, Message.Load.NONE));
    }

    @Override
    public void onMessage(WireConnection connection, Message message) {
      from.loop.dispatch(
          from.checked(
              () -> {
                if (++answers < MESSAGES_PER_ROUND) {
                  ping(connection);
                } else {
                  connection.close();
                }
              }));
    }

    @Override
    public void onClosed(WireConnection connection, @Nullable Throwable cause) {
      from.loop.execute(
          from.checked(
              () -> {
                if (++rounds < ROUNDS_PER_LINK) {
                  connect();
                } else {
                  linksDone.countDown();
                }
              }));
    }
  }
}
