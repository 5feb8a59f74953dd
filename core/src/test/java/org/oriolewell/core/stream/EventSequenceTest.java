package org.oriolewell.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which event may follow another one in a stream. */
class EventSequenceTest {
  @ParameterizedTest
  @CsvSource({
    "7, 8, true",
    "7, 9, true",
    "9, 10, true",
    "7, 7, false",
    "7, 1, false",
    "10, 9, false",
    "7, 07, false",
    "a, a, false",
    "a, b, true",
    "999999999999999999999, 999999999999999999999, false"
  })
  void eventIsAcceptedIfItsIdIsHigherOrElseDifferent(String lastId, String id, boolean accepted) {
    assertThat(EventSequence.after(lastId).accepts(id)).isEqualTo(accepted);
    EventSequence forwardedSequence = EventSequence.after(null);
    forwardedSequence.forwarded(lastId);
    assertThat(forwardedSequence.accepts(id)).isEqualTo(accepted);
  }

  @Test
  void streamCannotBeContinuedAfterAnEventWithoutId() {
    EventSequence sequence = EventSequence.after(null);
    assertThat(sequence.resumable()).isTrue();
    sequence.forwarded("1");
    assertThat(sequence.accepts(null)).isTrue();
    sequence.forwarded(null);

    assertThat(sequence.resumable()).isFalse();
    assertThat(sequence.lastId()).isEqualTo("1");
    assertThat(sequence.accepts("1")).isFalse();
    sequence.forwarded("2");
    assertThat(sequence.resumable()).isTrue();
  }
}
