package org.oriolewell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.gateway.ControlFeed.Batch;
import org.oriolewell.gateway.ControlFeed.Peer;
import org.oriolewell.gateway.ControlFeed.Update;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/** Guards against a failure while a batch is applied that ends the reading of the store. */
@Timeout(30)
class ControlPlaneFailureTest {
  private static final Duration WAIT = Duration.ofSeconds(10);
  private static final Peer SELF = peer("g1");
  private static final EventLog LOG = EventLog.of("test", InstantSource.system());

  private final EventLoop loop = EventLoop.start("test", LOG, Duration.ofSeconds(1), error -> {});
  private final ScriptedFeed feed = new ScriptedFeed();
  private final ControlPlane control =
      ControlPlane.create(
          loop,
          feed,
          SELF,
          Duration.ofSeconds(5),
          Duration.ofSeconds(2),
          Duration.ofSeconds(2),
          InstantSource.system(),
          LOG);

  private static Peer peer(String name) {
    return new Peer(name, Ipv4SocketAddress.parse("10.0.0.1:8090"), "z1", "r1");
  }

  /** A feed that answers calls for changes from a script, and then leaves them open. */
  private static final class ScriptedFeed implements ControlFeed {
    private final Queue<Supplier<CompletableFuture<Batch>>> answers = new ConcurrentLinkedQueue<>();
    private volatile EraObserver eraObserver = era -> true;

    private void add(Update... updates) {
      answers.add(
          () -> CompletableFuture.completedFuture(new Batch(List.of(updates), answers.size() + 2)));
    }

    @Override
    public void observeEras(EraObserver observer) {
      eraObserver = observer;
    }

    @Override
    public CompletableFuture<Batch> snapshot() {
      return CompletableFuture.completedFuture(new Batch(List.of(), 1));
    }

    @Override
    public CompletableFuture<Batch> changes(long afterRevision, Duration maxWait) {
      Supplier<CompletableFuture<Batch>> answer = answers.poll();
      return answer == null ? new CompletableFuture<>() : answer.get();
    }

    @Override
    public CompletableFuture<Long> register(Peer self, Duration leaseDuration) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> renewLease(long leaseId) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> endLease(long leaseId) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> quarantine(
        String subject, Duration trialDelay, Duration lifetime) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> release(String subject) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> markSettled(long era) {
      return new CompletableFuture<>();
    }
  }

  @AfterEach
  void closeLoop() {
    loop.close();
  }

  /** Starts reading and returns whether a peer is listed within the time. */
  private boolean lists(String peerName) throws InterruptedException {
    CountDownLatch listed = new CountDownLatch(1);
    loop.execute(
        () -> {
          control.onChange(
              () -> {
                if (control.peers().contains(peer(peerName))) {
                  listed.countDown();
                }
              });
          control.start();
        });
    return listed.await(WAIT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static IllegalStateException failure() {
    return new IllegalStateException("failure of the test");
  }

  @Test
  void failedListenerStopsNeitherTheOthersNorTheReading() throws InterruptedException {
    loop.execute(
        () ->
            control.onChange(
                () -> {
                  throw failure();
                }));
    feed.add(new Update.PeerListed(peer("a"), 1));
    feed.add(new Update.PeerListed(peer("b"), 1));

    assertThat(lists("b")).isTrue();
  }

  @Test
  void failedUpdateStopsNeitherTheOthersNorTheReading() throws InterruptedException {
    control.quarantineListener(
        new ControlPlane.QuarantineListener() {
          @Override
          public void onQuarantined(String subject, Duration trialDelay) {
            throw failure();
          }
        });
    feed.add(
        new Update.SubjectQuarantined("s", Duration.ofSeconds(1)),
        new Update.PeerListed(peer("a"), 1));

    assertThat(lists("a")).isTrue();
  }

  @Test
  void failedSnapshotStepDoesNotStopTheReading() throws InterruptedException {
    control.quarantineListener(
        new ControlPlane.QuarantineListener() {
          @Override
          public void onSnapshot(Map<String, Duration> trialDelaysBySubject, boolean restored) {
            throw failure();
          }
        });
    feed.add(new Update.PeerListed(peer("a"), 1));

    assertThat(lists("a")).isTrue();
  }

  @Test
  void callThatCannotBeStartedIsRepeated() throws InterruptedException {
    feed.answers.add(
        () -> {
          throw failure();
        });
    feed.add(new Update.PeerListed(peer("a"), 1));

    assertThat(lists("a")).isTrue();
  }

  @Test
  void failureWhileTheStoreIsRestoredDoesNotStopTheReading() throws InterruptedException {
    feed.answers.add(
        () -> {
          feed.eraObserver.onEra(1);
          feed.eraObserver.onEra(2);
          return new CompletableFuture<>();
        });
    feed.add(new Update.PeerListed(peer("a"), 1));
    loop.execute(
        () ->
            control.onChange(
                () -> {
                  throw failure();
                }));

    assertThat(lists("a")).isTrue();
  }
}
