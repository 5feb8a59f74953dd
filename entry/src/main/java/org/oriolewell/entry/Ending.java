package org.oriolewell.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.oriolewell.core.result.Failure;
import org.oriolewell.core.result.StageReport;

/** How a request ended. */
sealed interface Ending {
  /**
   * A whole answer.
   *
   * @param output output of the last stage
   * @param tokens tokens of the last stage; 0 if it isn't a stream
   */
  record Answer(JsonNode output, long tokens, List<StageReport> stages) implements Ending {}

  /** A refusal. */
  record Refusal(Failure failure) implements Ending {}

  /** The caller left. */
  record Left() implements Ending {}
}
