package org.oriolewell.loadtool;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** A histogram of times. */
final class Timings {
  private static final long MAX_MICROS = 3_600_000_000L;
  private static final int DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1000;
  private static final double MICROS_PER_MILLI = 1000;

  private final Histogram micros = new Histogram(MAX_MICROS, DIGITS);

  synchronized void add(long nanos) {
    micros.recordValue(Math.max(0, Math.min(MAX_MICROS, nanos / NANOS_PER_MICRO)));
  }

  /** Adds all times of another histogram. */
  void add(Timings other) {
    Histogram copy;
    synchronized (other) {
      copy = other.micros.copy();
    }
    synchronized (this) {
      micros.add(copy);
    }
  }

  /** Returns a percentile in milliseconds; 0 if there are no times. */
  synchronized double millis(double percentile) {
    return micros.getTotalCount() == 0
        ? 0
        : micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  synchronized long count() {
    return micros.getTotalCount();
  }

  /** Returns the percentiles in milliseconds as JSON. */
  synchronized Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("count", count());
    json.put("p50", millis(50));
    json.put("p90", millis(90));
    json.put("p95", millis(95));
    json.put("p99", millis(99));
    json.put("p999", millis(99.9));
    json.put("max", millis(100));
    return json;
  }
}
