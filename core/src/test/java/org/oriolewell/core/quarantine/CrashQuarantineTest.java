package org.oriolewell.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewell.core.quarantine.CrashQuarantine.Decision;

class CrashQuarantineTest {
  private static final String FIRST = "f157";
  private static final String FATAL = "badc0de";

  private final CrashQuarantine quarantine = CrashQuarantine.create();
  private int requestCount;

  private static long millis(long value) {
    return Duration.ofMillis(value).toNanos();
  }

  private CrashVictim victim(String... parts) {
    return new CrashVictim("r" + requestCount++, List.of(parts));
  }

  private boolean heldBack(String... parts) {
    return quarantine.decide(List.of(parts), part -> false, 0) instanceof Decision.HoldBack;
  }

  @Test
  void partPresentAtThreeCrashesIsHeldBack() {
    assertThat(quarantine.upstreamCrashed("e1", List.of(victim(FIRST, FATAL)), millis(0)))
        .isEmpty();
    quarantine.answered(List.of(FIRST, "s1"));
    assertThat(quarantine.upstreamCrashed("e2", List.of(victim(FIRST, FATAL)), millis(500)))
        .isEmpty();
    quarantine.answered(List.of(FIRST, "s2"));

    assertThat(quarantine.upstreamCrashed("e3", List.of(victim(FIRST, FATAL)), millis(900)))
        .containsExactly(FATAL);
    assertThat(heldBack(FIRST, FATAL)).isTrue();
    assertThat(heldBack(FIRST, "s1")).isFalse();
  }

  /**
   * Guards against taking a popular part for the cause: crashes as a run of CrashingPromptTest
   * reported them, with times in milliseconds. Each engine that gets a fatal request also runs
   * several sound ones of the same subject, and other gateways report the crash later.
   */
  @Test
  void popularPartAtTheSameEnginesIsNotTakenForTheCause() {
    String[][] reports = {
      {"86", "e6", "f157 5ec1", "f157 badc0de 5ec1", "f157 5ec1", "f157 5ec1"},
      {"90", "e6", "f157 5ec17", "f157 5ec17", "f157 5ec17", "f157 5ec17"},
      {"174", "e8", "f157 5ec1", "f157 5ec1", "f157 badc0de 5ec1"},
      {"209", "e8", "f157 5ec9", "f157 5ec9", "f157 5ec9"},
      {"244", "e5", "f157 5ec5", "f157 badc0de 5ec5", "f157 5ec5"},
      {"490", "e4", "f157 5ec9", "f157 badc0de 5ec9", "f157 5ec9", "f157 5ec9"},
      {"494", "e4", "f157 5ec17", "f157 5ec17", "f157 5ec17", "f157 5ec17"},
      {"647", "e3", "f157 badc0de 5ec13", "f157 5ec13", "f157 5ec13", "f157 5ec13"},
      {"860", "e2", "f157 5ec1", "f157 5ec1", "f157 5ec1"},
      {"887", "e2", "f157 5ec9", "f157 5ec9", "f157 5ec9", "f157 5ec9"},
      {"890", "e2", "f157 badc0de 5ec17", "f157 5ec17", "f157 5ec17", "f157 5ec17"},
    };
    for (String[] report : reports) {
      List<CrashVictim> victims =
          Arrays.stream(report).skip(2).map(parts -> victim(parts.split(" "))).toList();
      quarantine.upstreamCrashed(report[1], victims, millis(Long.parseLong(report[0])));
      quarantine.answered(List.of(FIRST));
    }
    assertThat(quarantine.quarantinedSubjects()).containsExactly(FATAL);
  }

  @Test
  void fatalFirstPartIsHeldBackAndItsSoundOtherPartsAreNot() {
    for (int i = 0; i < 3; i++) {
      quarantine.upstreamCrashed("e" + i, List.of(victim(FATAL, "s" + i)), millis(i * 400L));
    }
    assertThat(heldBack(FATAL, "s9")).isTrue();
    assertThat(heldBack("s1")).isFalse();
  }

  /** Guards against a hot subject that is taken for the cause when racks lose power. */
  @Test
  void hotSubjectIsNotHeldBackWhenRacksLosePowerOneAfterTheOther() {
    for (int rack = 0; rack < 5; rack++) {
      for (int engine = 0; engine < 6; engine++) {
        String id = "rack" + rack + "-" + engine;
        quarantine.upstreamCrashed(
            id, List.of(victim(FIRST, "hot"), victim(FIRST, "hot")), millis(rack * 2000L + engine));
      }
      quarantine.answered(List.of(FIRST, "hot"));
    }
    assertThat(quarantine.quarantinedSubjects()).isEmpty();
  }

  /** Guards against evidence that a mistaken quarantine takes away from the part at fault. */
  @Test
  void fatalPartIsFoundAfterThePowerLossOfEnginesThatRanPopularPart() {
    for (int engine = 0; engine < 6; engine++) {
      quarantine.upstreamCrashed("rack" + engine, List.of(victim(FIRST, "hot")), millis(engine));
    }
    quarantine.upstreamCrashed("e1", List.of(victim(FIRST, FATAL)), millis(500));
    quarantine.upstreamCrashed("e2", List.of(victim(FIRST, FATAL)), millis(1000));
    quarantine.answered(List.of(FIRST, "hot"));
    quarantine.upstreamCrashed("e3", List.of(victim(FIRST, FATAL)), millis(1500));

    assertThat(quarantine.quarantinedSubjects()).containsExactly(FATAL);
  }

  @Test
  void engineReportedBySeveralGatewaysCountsOnce() {
    for (int i = 0; i < 9; i++) {
      quarantine.upstreamCrashed("e1", List.of(victim(FATAL)), millis(i * 400L));
    }
    assertThat(heldBack(FATAL)).isFalse();
  }

  /** Guards against taking a popular part for the cause when a rack loses power. */
  @Test
  void enginesThatCrashTogetherCountAsOneCrash() {
    for (int i = 0; i < 12; i++) {
      quarantine.upstreamCrashed("e" + i, List.of(victim(FIRST), victim(FIRST)), millis(i * 20L));
    }
    assertThat(heldBack(FIRST)).isFalse();
  }

  @Test
  void repeatsOfOneRequestAreNotEnoughEvidence() {
    CrashVictim repeated = victim("s1");
    for (int i = 0; i < 4; i++) {
      quarantine.upstreamCrashed("e" + i, List.of(repeated), millis(i * 400L));
    }
    assertThat(heldBack("s1")).isFalse();
  }

  @Test
  void partsThatTheEvidenceDoesNotTellApartWaitForAnotherCrash() {
    for (int i = 0; i < 3; i++) {
      quarantine.upstreamCrashed("e" + i, List.of(victim("s1", FATAL)), millis(i * 400L));
    }
    assertThat(heldBack("s1", FATAL)).isFalse();

    assertThat(quarantine.upstreamCrashed("e4", List.of(victim("s2", FATAL)), millis(2000)))
        .containsExactly(FATAL);
    assertThat(heldBack("s1")).isFalse();
  }

  @Test
  void requestSentBeforeTheQuarantineIsNoEvidenceAgainstOtherParts() {
    for (int i = 0; i < 3; i++) {
      quarantine.upstreamCrashed("e" + i, List.of(victim(FATAL)), millis(i * 400L));
    }
    for (int i = 10; i < 14; i++) {
      quarantine.upstreamCrashed(
          "e" + i, List.of(victim(FATAL), victim("s1"), victim("s1")), millis(i * 400L));
      quarantine.upstreamCrashed("e" + i, List.of(victim("s1")), millis(i * 400L + 5));
    }
    assertThat(heldBack("s1")).isFalse();
  }

  @Test
  void twoFatalPartsAreBothFound() {
    for (int i = 0; i < 3; i++) {
      quarantine.upstreamCrashed("a" + i, List.of(victim(FIRST, FATAL)), millis(i * 700L));
      quarantine.answered(List.of(FIRST));
      quarantine.upstreamCrashed("b" + i, List.of(victim(FIRST, "bad2")), millis(i * 700L + 300));
      quarantine.answered(List.of(FIRST));
    }
    assertThat(quarantine.quarantinedSubjects()).containsExactlyInAnyOrder(FATAL, "bad2");
  }

  @Test
  void soundAnswerEndsTheQuarantineAtOnce() {
    quarantine.quarantine("s1", CrashQuarantine.FIRST_TRIAL_DELAY, 0);
    assertThat(quarantine.answered(List.of(FIRST, "s1"))).containsExactly("s1");
    assertThat(heldBack("s1")).isFalse();
  }

  @Test
  void requestIsNotRepeatedOnceItsPartWasAtAnEarlierCrash() {
    assertThat(quarantine.mayRepeat(List.of(FATAL))).isTrue();
    quarantine.upstreamCrashed("e1", List.of(victim(FIRST, FATAL)), 0);
    assertThat(quarantine.mayRepeat(List.of("s1"))).isTrue();
    assertThat(quarantine.mayRepeat(List.of("s1", FATAL))).isFalse();
  }

  /** Guards against a permanent quarantine, and against an engine that is lost every minute. */
  @Test
  void quarantinedPartIsTriedRarelyAndByItsOwnerOnly() {
    quarantine.quarantine(FATAL, CrashQuarantine.FIRST_TRIAL_DELAY, 0);
    List<Long> trialSeconds = new ArrayList<>();
    for (long second = 0; second < 3600; second++) {
      long now = Duration.ofSeconds(second).toNanos();
      assertThat(quarantine.decide(List.of(FATAL), part -> false, now))
          .isInstanceOf(Decision.HoldBack.class);
      if (quarantine.decide(List.of(FATAL), part -> true, now) instanceof Decision.Trial) {
        trialSeconds.add(second);
      }
    }
    assertThat(trialSeconds).startsWith(120L, 360L, 840L).hasSizeLessThan(10);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 100})
  void stateIsBoundedHoweverManyPartsCallersInvent(int partsPerPrompt) {
    for (int i = 0; i < 1000; i++) {
      int crash = i;
      List<CrashVictim> victims =
          IntStream.range(0, 300)
              .mapToObj(
                  request ->
                      new CrashVictim(
                          "r" + request,
                          IntStream.range(0, partsPerPrompt)
                              .mapToObj(part -> crash + "-" + request + "-" + part)
                              .toList()))
              .toList();
      quarantine.upstreamCrashed("e" + i, victims, millis(i));
      quarantine.quarantine("q" + i, CrashQuarantine.FIRST_TRIAL_DELAY, millis(i));
    }
    assertThat(quarantine.quarantinedSubjects()).hasSize(CrashQuarantine.MAX_QUARANTINED);
    assertThat(quarantine.evidenceSize()).isLessThanOrEqualTo(CrashEvidence.MAX_SUBJECTS);
  }
}
