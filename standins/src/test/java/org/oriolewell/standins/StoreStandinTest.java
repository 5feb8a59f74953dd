package org.oriolewell.standins;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.platform.HttpKeyValueStore;
import org.oriolewell.runtime.platform.KeyValueStore;
import org.oriolewell.runtime.platform.StoreUnavailableException;

/** Guards against a store that differs from what the product's client expects. */
class StoreStandinTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient http = new HttpClient();
  private StoreStandin standin;
  private KeyValueStore store;

  @BeforeEach
  void start() throws Exception {
    standin = StoreStandin.start("answer_delay_ms = 0\nrates.reads = 0\nrates.writes = 50");
    http.start();
    store = HttpKeyValueStore.of(http, standin.uri(), TIMEOUT);
  }

  @AfterEach
  void stop() throws Exception {
    http.stop();
    standin.close();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(UTF_8);
  }

  /** Guards against writes that overwrite a value which another writer changed. */
  @Test
  void writesOnlyAtTheExpectedRevision() {
    assertThat(store.get("calls/permits/0").join()).isEmpty();
    long first = store.compareAndSet("calls/permits/0", 0, bytes("a")).join().orElseThrow();
    assertThat(store.compareAndSet("calls/permits/0", 0, bytes("b")).join()).isEmpty();
    long second = store.compareAndSet("calls/permits/0", first, bytes("c")).join().orElseThrow();

    KeyValueStore.Entry entry = store.get("calls/permits/0").join().orElseThrow();
    assertThat(second).isGreaterThan(first);
    assertThat(entry.revision()).isEqualTo(second);
    assertThat(entry.value()).isEqualTo(bytes("c"));
  }

  /** Guards against watches that miss a change, answer with the old value or never time out. */
  @Test
  void answersWatchAfterChangeOrTimeout() {
    long first = store.compareAndSet("config/document", 0, bytes("a")).join().orElseThrow();
    CompletableFuture<Optional<KeyValueStore.Entry>> watch =
        store.watch("config/document", first, Duration.ofSeconds(20));
    Await.until(() -> Integer.valueOf(1).equals(standin.counters().get("watches_waiting")));
    long second = store.compareAndSet("config/document", first, bytes("b")).join().orElseThrow();

    assertThat(watch.join().orElseThrow().revision()).isEqualTo(second);
    assertThat(store.watch("config/document", first, TIMEOUT).join()).isPresent();
    assertThat(store.watch("config/document", second, Duration.ofMillis(20)).join()).isEmpty();
    assertThat(standin.counters()).containsEntry("watches", 3L).containsEntry("writes", 2L);
  }

  /** Guards against a lost answer without the effect, the case that settling must find. */
  @Test
  void lostAnswerLeavesTheWriteInForce() {
    standin.faults().set(Fault.next(Fault.Kind.DROP_ANSWER, 0, 1, "put calls/"));

    assertThatThrownBy(() -> store.compareAndSet("calls/a/0", 0, bytes("x")).join())
        .hasCauseInstanceOf(StoreUnavailableException.class);

    assertThat(store.get("calls/a/0").join().orElseThrow().value()).isEqualTo(bytes("x"));
  }

  /** Guards against an outage that lets calls take effect or that doesn't end. */
  @Test
  void outageHasNoEffectAndEnds() {
    standin.faults().set(Fault.of(Fault.Kind.OUTAGE, 0));
    assertThatThrownBy(() -> store.compareAndSet("k", 0, bytes("x")).join())
        .hasCauseInstanceOf(StoreUnavailableException.class);
    standin.faults().clear();

    assertThat(store.get("k").join()).isEmpty();
  }

  /** Guards against a store without limits, which would hide a fleet that calls it too often. */
  @Test
  void refusesCallsAboveItsRate() {
    int refused = 0;
    for (int i = 0; i < 200; i++) {
      CompletableFuture<?> write = store.compareAndSet("k" + i, 0, bytes("x"));
      refused += write.handle((done, failure) -> failure == null ? 0 : 1).join();
    }

    assertThat(refused).isPositive();
    assertThat(standin.counters()).containsEntry("writes_refused", (long) refused);
  }

  /** Guards against a limit on values below the 1 MB that the platform promises. */
  @Test
  void storesOneMegabyte() {
    byte[] value = new byte[1 << 20];
    assertThat(store.compareAndSet("big", 0, value).join()).isPresent();
    assertThat(store.get("big").join().orElseThrow().value()).hasSize(1 << 20);
  }
}
