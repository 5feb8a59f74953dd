package org.oriolewell.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against a prefix cache without a limit, and against events that don't match it. */
class PrefixCacheTest {
  private static final String BLOCK = "x".repeat(PrefixCache.BLOCK_BYTES);
  private static final int BLOCK_TOKENS = PrefixCache.BLOCK_BYTES / PrefixCache.TOKEN_BYTES;

  /** Guards against prompts that find blocks of another prompt, or none of their own. */
  @Test
  void findsTheLongestKnownPrefix() {
    PrefixCache cache = new PrefixCache(3, (kind, block) -> {});

    assertThat(cache.use(BLOCK + BLOCK + "end")).isZero();
    assertThat(cache.use(BLOCK + BLOCK + "other end")).isEqualTo(2 * BLOCK_TOKENS);
    assertThat(cache.use("y" + BLOCK + BLOCK)).isZero();
    assertThat(cache.use(BLOCK + BLOCK)).isLessThan(2 * BLOCK_TOKENS);
  }

  /** Guards against a cache that saves no prefill, and resumes that cost none. */
  @Test
  void cachedTokensAreNotReadAgain() {
    String prompt = BLOCK + BLOCK + "four";
    PrefixCache cache = new PrefixCache(10, (kind, block) -> {});
    Sequence fresh = new Sequence("r", prompt, 0, 0, 0, 5, null);
    Sequence resumed = new Sequence("r", prompt, 0, 0, 3, 5, null);

    assertThat(fresh.prefillTokens(cache.use(prompt))).isEqualTo(2 * BLOCK_TOKENS + 1);
    assertThat(fresh.prefillTokens(cache.use(prompt))).isEqualTo(1);
    assertThat(resumed.prefillTokens(cache.use(prompt))).isEqualTo(4);
  }

  /** Guards against events from which a reader would compute other contents than the cache's. */
  @Property(tries = 200, seed = "7")
  void eventsDescribeTheContents(
      @ForAll @Size(max = 40) List<@IntRange(max = 6) Integer> prompts,
      @ForAll @IntRange(max = 8) int capacity) {
    Set<Long> seen = new HashSet<>();
    PrefixCache cache =
        new PrefixCache(
            capacity,
            (kind, block) ->
                assertThat(kind.equals("stored") ? seen.add(block) : seen.remove(block)).isTrue());
    for (int prompt : prompts) {
      cache.use((prompt + BLOCK).repeat(1 + prompt % 3));
      assertThat(cache.size()).isEqualTo(seen.size()).isLessThanOrEqualTo(capacity);
    }
  }

  /** Guards against events that are early, or whose losses can't be noticed. */
  @Test
  void eventsAreLateAndLeaveGaps() {
    AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);
    CacheEvents events = new CacheEvents(now::get, Duration.ofMillis(100), 0.5, 1);
    for (int block = 0; block < 100; block++) {
      events.add("stored", block);
    }
    assertThat(events.json(0).get("events")).isEqualTo(List.of());

    now.set(Instant.ofEpochMilli(100));

    assertThat((List<?>) events.json(0).get("events")).hasSizeBetween(30, 70);
    assertThat(events.json(0).get("last")).isInstanceOf(Long.class).isNotEqualTo(0L);
  }
}
