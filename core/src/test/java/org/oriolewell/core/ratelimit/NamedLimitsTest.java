package org.oriolewell.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class NamedLimitsTest {
  private final NamedLimits limits = NamedLimits.create();

  @Test
  void newestStatementCountsInWhateverOrderTheyArrive() {
    assertThat(limits.stated("u/1", OptionalDouble.of(2), 100)).isTrue();
    assertThat(limits.stated("u/1", OptionalDouble.of(9), 50)).isFalse();
    assertThat(limits.limit("u/1")).hasValue(2);
    assertThat(limits.stated("u/1", OptionalDouble.of(0.3), 200)).isTrue();
    assertThat(limits.limit("u/1")).hasValue(0.3);
  }

  @Test
  void answerWithoutLimitEndsItAndAnOlderOneDoesNotBringItBack() {
    limits.stated("u/1", OptionalDouble.of(2), 100);
    assertThat(limits.stated("u/1", OptionalDouble.empty(), 200)).isTrue();
    assertThat(limits.limit("u/1")).isEmpty();
    assertThat(limits.stated("u/1", OptionalDouble.of(2), 150)).isFalse();
    assertThat(limits.limit("u/1")).isEmpty();
  }

  @Test
  void anotherStartOfAnUpstreamHasNoLimit() {
    limits.stated("u/1", OptionalDouble.of(2), 100);
    assertThat(limits.limit("u/2")).isEmpty();
    limits.retain(key -> key.equals("u/2"));
    assertThat(limits.limit("u/1")).isEmpty();
    assertThat(limits.isEmpty()).isTrue();
  }
}
