package org.oriolewell.entry;

import java.util.List;
import java.util.Map;
import org.oriolewell.core.result.StageReport;

/** Converts stage reports to the JSON that the callers' API returns. */
final class StageReportJson {
  private StageReportJson() {}

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
