package org.oriolewell.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

/** Operators' commands on real processes. The tests share a deployment and run in order. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class OperatorTest {
  /** Target: in force everywhere within 3 s. */
  private static final Duration IN_FORCE = Duration.ofSeconds(3);

  private static Site site;

  @BeforeAll
  static void start() throws Exception {
    site = Site.start("operators", 2);
  }

  @AfterAll
  static void stop() {
    site.close();
  }

  /** Guards against two winners, or a loser who is not told, when operators race. */
  @Test
  @Order(1)
  void racingOperatorsAtTwoEntriesHaveOneWinner() throws Exception {
    List<CompletableFuture<JsonNode>> answers =
        Stream.of(0, 1)
            .map(
                entry ->
                    CompletableFuture.supplyAsync(
                        () -> command(entry, "race-" + entry, 1, weight(entry + 2))))
            .toList();
    List<String> outcomes =
        answers.stream().map(answer -> answer.join().path("outcome").asText()).toList();

    assertThat(outcomes).containsExactlyInAnyOrder("accepted", "rejected");
  }

  /** Guards against an accepted version that some process never learns. */
  @Test
  @Order(2)
  void acceptedVersionIsInForceEverywhereWithinTheTarget() throws Exception {
    JsonNode answer = command(0, "second", 2, weight(5));
    assertThat(answer.path("outcome").asText()).as(answer.toString()).isEqualTo("accepted");

    Fleet.await(IN_FORCE, () -> inForce(0, 3) && inForce(1, 3), "version 3 everywhere");
  }

  /** Guards against a lost answer that is taken for a failure, and a command that runs twice. */
  @Test
  @Order(3)
  void lostAnswerIsSettledByTheCommandsIdentity() throws Exception {
    site.storeFaults("{\"drop_answer\": {\"value\": true, \"count\": 1, \"on\": \"put config/\"}}");
    JsonNode first = command(0, "lost", 3, weight(6));
    JsonNode repeated = command(1, "lost", 3, weight(6));

    assertThat(first.path("outcome").asText()).isIn("accepted", "unknown");
    assertThat(repeated.path("outcome").asText()).as(repeated.toString()).isEqualTo("accepted");
    assertThat(repeated.path("version").asLong()).isEqualTo(4);
  }

  /** Guards against new work for a drained upstream, also while the store is away afterwards. */
  @Test
  @Order(4)
  void drainedHostGetsNoNewWorkWithinTheTarget() throws Exception {
    assertThat(command(0, "drain", 4, "drain host host-5").path("outcome").asText())
        .isEqualTo("accepted");
    site.storeFaults("{\"outage\": {\"value\": true, \"duration_ms\": 2000}}");
    Fleet.Member drained = site.serviceAgents.get(0);
    Fleet.await(IN_FORCE, () -> drained.logLines("DRAIN") > 0, "the drain of host-5 in its agent");
    Fleet.await(Duration.ofSeconds(10), () -> permitIsAnswered(), "a permit elsewhere");

    int before = runs(0);
    for (int i = 0; i < 20; i++) {
      assertThat(permitIsAnswered()).isTrue();
    }
    assertThat(runs(0)).isEqualTo(before);
  }

  private static String weight(int weight) {
    return "set workspace inspectors weight " + weight;
  }

  private static JsonNode command(int entry, String id, long expected, String text) {
    try {
      HttpResponse<String> answer =
          site.admin(
              entry,
              "POST",
              "commands",
              String.format(
                  "{\"command_id\":\"%s\",\"expected_version\":%d,\"commands\":[\"%s\"]}",
                  id, expected, text));
      return Fleet.json(answer.body());
    } catch (Exception e) {
      throw new CompletionException(e);
    }
  }

  private static boolean inForce(int entry, long version) {
    try {
      String body = site.admin(entry, "GET", "inforce/" + version, "").body();
      return Fleet.json(body).path("in_force").asBoolean();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static boolean permitIsAnswered() {
    try {
      String key = System.currentTimeMillis() + "-permit-" + System.nanoTime();
      String body = site.request(1, Site.permit(key)).body();
      return Fleet.json(body).path("outcome").asText().equals("answered");
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static int runs(int service) throws Exception {
    String url = "http://" + site.services.get(service).address("service") + "/executions";
    return Fleet.json(Fleet.http("GET", url, "").body()).path("total").asInt();
  }
}
