package org.oriolewell.loadtool;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against repeated calls and false outcomes that the report doesn't show. */
class AuditTest {
  private static final Workload.Traffic TRAFFIC =
      new Workload.Traffic(
          "p",
          "w",
          "f",
          1,
          Duration.ofSeconds(1),
          -1,
          false,
          Workload.Keys.TIME,
          0,
          false,
          0,
          0,
          1,
          null);

  private static Ended ended(String key, Outcome outcome, boolean claimsNotRun) {
    return new Ended(TRAFFIC, key, outcome, "", 1, 0, 0, 1, claimsNotRun);
  }

  private static JsonNode ledger(String... keys) {
    List<Map<String, String>> executions =
        Arrays.stream(keys).map(key -> Map.of("operation", "record", "key", key)).toList();
    return new ObjectMapper()
        .valueToTree(Map.of("total", keys.length, "dropped", 0, "executions", executions));
  }

  /** Guards against a key that runs at two upstreams, once at each. */
  @Test
  void addsExecutionsUpOverStandins() {
    List<Ended> ended = List.of(ended("a", Outcome.ANSWERED, false));
    Audit audit = Audit.ofLedgers(List.of(ledger("a"), ledger("a")), ended);
    assertThat(audit.clean()).isFalse();
    assertThat(audit.ranTwice("a")).isTrue();

    Group group = new Group();
    ended.forEach(request -> group.add(request, audit.ranTwice(request.key())));
    assertThat(group.attainment()).isZero();
  }

  /** Guards against outcomes that are taken for true although the ledgers say otherwise. */
  @Test
  void findsOutcomesThatContradictTheLedgers() {
    List<Ended> truthful =
        List.of(
            ended("a", Outcome.ANSWERED, false),
            ended("b", Outcome.NOT_RUN, true),
            ended("c", Outcome.UNKNOWN, false),
            ended("d", Outcome.UNKNOWN, false),
            ended("e", Outcome.NOT_RUN, false));
    Audit audit = Audit.ofLedgers(List.of(ledger("a", "c", "e")), truthful);
    assertThat(audit.clean()).isTrue();
    assertThat(audit.json()).containsEntry("unknown_executed", 1);
    assertThat(audit.json()).containsEntry("unknown_not_executed", 1);

    assertThat(Audit.ofLedgers(List.of(ledger("a", "b")), truthful).clean()).isFalse();
    assertThat(Audit.ofLedgers(List.of(ledger("c")), truthful).clean()).isFalse();
  }
}
