package org.oriolewell.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.oriolewell.core.result.Failure;
import org.oriolewell.core.result.StageReport;

/** How a request ended: answered, refused, or left by its caller. */
sealed interface Ending {
  /**
   * The request was answered.
   *
   * @param output output of the last stage
   * @param tokenCount number of tokens that the last stage generated; 0 if it generates none
   * @param stages upstream and duration of each stage
   */
  record Answer(JsonNode output, long tokenCount, List<StageReport> stages) implements Ending {}

  /** The request was refused or failed. */
  record Refusal(Failure failure) implements Ending {}

  /** The caller disconnected before it had the whole answer. */
  record CallerLeft() implements Ending {}
}
