package org.oriolewell.loadtool;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counters of processes, read from their metrics in Prometheus' text format and added up. */
final class Counters {
  private final Map<String, Double> values;

  private Counters(Map<String, Double> values) {
    this.values = values;
  }

  /**
   * Reads the counters of processes from their operators' ports.
   *
   * @throws IOException if a port doesn't answer
   */
  static Counters read(List<URI> ports) throws IOException {
    Map<String, Double> sums = new TreeMap<>();
    for (URI port : ports) {
      parse(Fetch.text(port.resolve("/metrics")))
          .values
          .forEach((name, value) -> sums.merge(name, value, Double::sum));
    }
    return new Counters(sums);
  }

  /** Returns the counters of a text; histogram buckets and gauges are left out. */
  static Counters parse(String text) {
    Map<String, Double> values = new TreeMap<>();
    for (String line : text.split("\n")) {
      int space = line.lastIndexOf(' ');
      if (line.startsWith("#") || space < 0) {
        continue;
      }
      String series = line.substring(0, space);
      String name = series.split("\\{", 2)[0];
      if (name.endsWith("_total") || name.endsWith("_sum") || name.endsWith("_count")) {
        values.merge(series, Double.parseDouble(line.substring(space + 1)), Double::sum);
      }
    }
    return new Counters(values);
  }

  /** Returns by how much each of the product's counters rose since an earlier reading. */
  Map<String, Double> since(Counters earlier) {
    Map<String, Double> rise = new TreeMap<>();
    values.forEach(
        (series, value) -> {
          double difference = value - earlier.values.getOrDefault(series, 0.0);
          if (series.startsWith("oriolewell_") && difference != 0) {
            rise.put(series, difference);
          }
        });
    return rise;
  }
}
