package org.oriolewell.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays 400 answers without end, each of which grows to the limit of one answer and stays there,
 * beside sound answers of up to 20 KiB that end.
 */
class BufferBudgetReplayTest {
  private static final int FAULTY_ANSWERS = 400;
  private static final int SOUND_ANSWERS = 2000;
  private static final int MAX_SOUND_BYTES = 20 << 10;
  private static final int MAX_ANSWER_BYTES = 256 << 10;
  private static final int MAX_PART_BYTES = 16 << 10;
  private static final long MAX_BYTES = 16 << 20;

  private static final class Answer implements BufferBudget.Buffer {
    private final boolean faulty;
    private final int endBytes;
    private long bytes;
    private boolean discarded;

    private Answer(boolean faulty, int endBytes) {
      this.faulty = faulty;
      this.endBytes = endBytes;
    }

    @Override
    public long bytes() {
      return bytes;
    }

    @Override
    public void discard() {
      discarded = true;
    }
  }

  /** How a replay has ended. */
  private record Result(long mostBytes, int discardedSound, int discardedFaulty) {}

  /** Plays the answers in random order; the budget decides which ones are discarded. */
  private static Result replay(long seed, BufferBudget budget) {
    List<Answer> open = new ArrayList<>();
    List<Answer> all = new ArrayList<>();
    for (int i = 0; i < FAULTY_ANSWERS; i++) {
      open.add(new Answer(true, MAX_ANSWER_BYTES));
    }
    open.forEach(budget::add);
    all.addAll(open);
    Random random = new Random(seed);
    int soundLeft = SOUND_ANSWERS;
    long mostBytes = 0;
    while (!open.isEmpty()) {
      if (soundLeft > 0) {
        soundLeft--;
        Answer sound = new Answer(false, 200 + random.nextInt(MAX_SOUND_BYTES - 200));
        open.add(sound);
        all.add(sound);
        budget.add(sound);
      }
      for (int i = 0; i < 20 && !open.isEmpty(); i++) {
        Answer answer = open.get(random.nextInt(open.size()));
        long part = Math.min(1 + random.nextInt(MAX_PART_BYTES), answer.endBytes - answer.bytes);
        answer.bytes += part;
        mostBytes = Math.max(mostBytes, budget.bytes());
        budget.grown(part).forEach(BufferBudget.Buffer::discard);
        if (!answer.faulty && answer.bytes == answer.endBytes) {
          budget.remove(answer);
          open.remove(answer);
        }
        open.removeIf(a -> a.discarded || (a.faulty && a.bytes == a.endBytes));
      }
    }
    return new Result(
        mostBytes,
        (int) all.stream().filter(a -> a.discarded && !a.faulty).count(),
        (int) all.stream().filter(a -> a.discarded && a.faulty).count());
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void sumIsBoundedAndSoundAnswersAreKept(long seed) {
    Result result = replay(seed, BufferBudget.of(MAX_BYTES));

    assertThat(result.mostBytes()).isLessThanOrEqualTo(MAX_BYTES + MAX_PART_BYTES);
    assertThat(result.discardedSound()).isZero();
    assertThat(result.discardedFaulty()).isPositive();
  }

  /** The baseline: each answer has a limit of its own only. */
  @Test
  void limitOfEachAnswerDoesNotBoundTheSum() {
    assertThat(replay(1, BufferBudget.of(Long.MAX_VALUE)).mostBytes()).isGreaterThan(5 * MAX_BYTES);
  }

  @Test
  void buffersThatHaveShrunkLeaveRoom() {
    BufferBudget budget = BufferBudget.of(100);
    Answer forwarded = new Answer(false, 0);
    budget.add(forwarded);

    for (int i = 0; i < 50; i++) {
      assertThat(budget.grown(10)).isEmpty();
    }
  }
}
