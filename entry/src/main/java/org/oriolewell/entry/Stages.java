package org.oriolewell.entry;

import java.util.List;
import java.util.Map;
import org.oriolewell.core.result.StageReport;

/** Writes stage reports as the callers' API shows them. */
final class Stages {
  private Stages() {}

  static List<Map<String, Object>> json(List<StageReport> stages) {
    return stages.stream()
        .map(
            stage ->
                Map.<String, Object>of(
                    "stage",
                    stage.stage(),
                    "upstream",
                    stage.upstream(),
                    "ms",
                    stage.durationMillis()))
        .toList();
  }
}
