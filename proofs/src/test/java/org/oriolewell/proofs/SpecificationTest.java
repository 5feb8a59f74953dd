package org.oriolewell.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oriolewell.core.statechart.StateChart;

/**
 * Checks the specifications. Guards against a protocol that holds only by luck: each specification
 * must hold with all guards, and must show a counterexample when one guard is removed.
 */
class SpecificationTest {
  /** A specification with its bounds, its guards, and its invariants. */
  private record Specification(
      String name, Map<String, String> bounds, List<String> guards, List<String> invariants) {
    Map<String, String> constants(String removedGuard) {
      Map<String, String> constants = new HashMap<>(bounds);
      guards.forEach(guard -> constants.put(guard, guard.equals(removedGuard) ? "FALSE" : "TRUE"));
      return constants;
    }
  }

  private static final Specification CALLS =
      new Specification(
          "Calls",
          Map.of("Processes", "{p1, p2}", "KeyCount", "1", "RequestCount", "2", "MaxWrites", "3"),
          List.of(
              "CheckWindow",
              "ExcludeOldWindow",
              "IntersectProposed",
              "FlushStarted",
              "RequireGrant"),
          List.of("AtMostOnce", "NotRunIsTrue", "SettledNeverRuns"));

  private static final Specification RESULTS =
      new Specification(
          "Results",
          Map.of("Requests", "{r1, r2}", "Stages", "2", "Length", "2", "MaxAttempts", "2"),
          List.of("CheckRequest", "CheckStage", "CheckPosition", "CheckCount"),
          List.of("Own", "ExactlyOnce", "WholeOrRefused"));

  private static final Specification CONFIGURATION =
      new Specification(
          "Configuration",
          Map.of("Commands", "{c1, c2, c3}", "Processes", "{p1, p2}"),
          List.of("CompareAndSet", "OnlyHigher", "SettleById"),
          List.of("AcceptedStays", "RejectedHasNoEffect", "ProcessesNeverRevert", "OneOrder"));

  private static final Specification DRAIN =
      new Specification(
          "Drain",
          Map.of("Calls", "{c1, c2, c3}", "Bound", "3"),
          List.of("CloseGate", "WaitInFlight", "LearnFromPeers"),
          List.of("NoNewWorkAfterBound", "NothingIsCutOff"));

  private static final Specification ORDERS =
      new Specification(
          "Orders",
          Map.of(
              "Holders",
              "{h1, h2}",
              "MaxToken",
              "2",
              "States",
              "{1, 2}",
              "NameExpected",
              "TRUE",
              "StatesNeverReturn",
              "FALSE"),
          List.of("EngineChecks"),
          List.of("NoStaleEffect"));

  private static final Specification RESTORED_STORE =
      new Specification(
          "RestoredStore",
          Map.of("Gateways", "{g1, g2}", "MaxVersion", "2", "MaxWrites", "4", "MaxEra", "3"),
          List.of("CompareEra", "AwaitSettled", "OnlyNewer"),
          List.of("NoChangeIsMissed", "ConfirmedIsNewest", "GatewaysNeverRevert"));

  private static final List<Specification> ALL =
      List.of(CALLS, RESULTS, CONFIGURATION, DRAIN, ORDERS, RESTORED_STORE);

  static Stream<Specification> specifications() {
    return ALL.stream();
  }

  static Stream<Arguments> guards() {
    return ALL.stream()
        .flatMap(spec -> spec.guards().stream().map(guard -> Arguments.of(spec, guard)));
  }

  @ParameterizedTest
  @MethodSource("specifications")
  void specificationHoldsWithAllGuards(Specification specification) throws Exception {
    ModelChecker.Result result =
        ModelChecker.check(
            specification.name(),
            "all-guards",
            specification.constants(""),
            specification.invariants());

    assertThat(result.exitCode()).as(result.output()).isZero();
  }

  @ParameterizedTest
  @MethodSource("guards")
  void removingOneGuardShowsCounterexample(Specification specification, String guard)
      throws Exception {
    ModelChecker.Result result =
        ModelChecker.check(
            specification.name(),
            "without-" + guard,
            specification.constants(guard),
            specification.invariants());

    assertThat(specification.invariants().stream().anyMatch(result::violates))
        .as(result.output())
        .isTrue();
  }

  /** Guards against drift between the specification and the chart that the code interprets. */
  @Test
  void callsSpecificationNamesTheStatesOfTheChart() throws Exception {
    String text = Files.readString(Path.of("src", "main", "tla", "Calls.tla"));

    for (String state : StateChart.load("shard-owner").states()) {
      assertThat(text).contains("\"" + state + "\"");
    }
  }
}
