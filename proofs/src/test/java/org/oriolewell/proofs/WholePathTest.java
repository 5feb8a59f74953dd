package org.oriolewell.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards against programs that pass their own tests but do not work with each other. */
class WholePathTest {
  private static Site site;

  @BeforeAll
  static void start() throws Exception {
    site = Site.start("whole-path", 1);
  }

  @AfterAll
  static void stop() {
    site.close();
  }

  @Test
  void pipelineOfFourStagesIsAnsweredWhole() throws Exception {
    HttpResponse<String> answer =
        site.request(
            0,
            "{\"pipeline\":\"survey-draft\",\"workspace\":\"inspectors\",\"deadline_ms\":9000,"
                + "\"input\":{\"line\":7}}");

    assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
    JsonNode body = Fleet.json(answer.body());
    assertThat(body.path("outcome").asText()).isEqualTo("answered");
    assertThat(body.path("tokens").asInt()).isEqualTo(20);
    assertThat(body.path("stages")).hasSize(4);
  }

  @Test
  void streamEndsWithTheCountOfItsTokens() throws Exception {
    HttpResponse<String> answer =
        site.request(
            1,
            "{\"pipeline\":\"survey-draft\",\"workspace\":\"inspectors\",\"deadline_ms\":9000,"
                + "\"input\":{\"line\":7},\"stream\":true}");

    assertThat(answer.body().split("event: token", -1)).hasSize(21);
    assertThat(answer.body()).contains("event: end").contains("\"count\":20");
  }
}
