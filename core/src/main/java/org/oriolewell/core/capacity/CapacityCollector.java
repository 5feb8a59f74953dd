package org.oriolewell.core.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Adds up what the gateways of a region report about upstreams. Times are monotonic, in
 * nanoseconds. Not thread-safe.
 */
public final class CapacityCollector {
  /** Age from which a gateway's report isn't counted; it is stopped, frozen or cut off. */
  private static final Duration REPORT_AGE = Duration.ofMillis(1500);

  /**
   * Measurements of a speed that are kept. With 31 gateways they span about three seconds, so that
   * a slowdown of half a second doesn't move prompt prefixes.
   */
  private static final int SPEED_OBSERVATIONS = 64;

  /** Most upstreams in one message; bounds it to about 500 bytes. */
  private static final int MAX_SUMS = 40;

  /** Priority below which a sum isn't sent: half a request of difference, or one second of age. */
  private static final double MIN_PRIORITY = 0.5;

  private static final double PRIORITY_PER_SECOND = 0.5;
  private static final int PRIORITY_OF_LEVEL_CHANGE = 4;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double TENTH = 0.1;

  private record Reported(CapacityReport report, long reportedAt) {}

  private static final class Total {
    private double work;
    private double sentWork;
    private int level = CapacitySums.UNKNOWN_LEVEL;
    private int sentLevel = CapacitySums.UNKNOWN_LEVEL;
    private long sentAt;
    private boolean sent;

    private double priority(long now) {
      return sent
          ? Math.abs(work - sentWork)
              + (now - sentAt) / NANOS_PER_SECOND * PRIORITY_PER_SECOND
              + (level == sentLevel ? 0 : PRIORITY_OF_LEVEL_CHANGE)
          : Double.POSITIVE_INFINITY;
    }
  }

  private final LearnedSpeeds speeds = LearnedSpeeds.withObservations(SPEED_OBSERVATIONS);
  private final Map<String, Reported> reportsByOrigin = new HashMap<>();
  private final Map<String, Total> totalsById = new HashMap<>();

  private CapacityCollector() {}

  /** Returns a collector without reports. */
  public static CapacityCollector create() {
    return new CapacityCollector();
  }

  /** Takes over a gateway's report, which replaces its previous one. */
  public void reported(String origin, CapacityReport report, long now) {
    // Not left to nextSums, which isn't called at a gateway that has ceased to be the collector.
    removeOldReports(now);
    reportsByOrigin.put(origin, new Reported(report, now));
    for (int i = 0; i < report.measured().size(); i++) {
      long gapNanos = Duration.ofNanos(1000L * report.gapMicros().get(i)).toNanos();
      speeds.observe(report.measured().get(i), gapNanos, now);
    }
  }

  /** Returns the sums that have changed or were sent long ago; called for each message. */
  public CapacitySums nextSums(long now) {
    updateTotals(now);
    List<Map.Entry<String, Total>> due = new ArrayList<>();
    for (Map.Entry<String, Total> entry : totalsById.entrySet()) {
      if (entry.getValue().priority(now) >= MIN_PRIORITY) {
        due.add(entry);
      }
    }
    due.sort(
        Comparator.comparingDouble(
                (Map.Entry<String, Total> entry) -> entry.getValue().priority(now))
            .reversed());
    List<String> upstreams = new ArrayList<>();
    List<Integer> tenthsOfWork = new ArrayList<>();
    List<Integer> levels = new ArrayList<>();
    for (Map.Entry<String, Total> entry : due.subList(0, Math.min(MAX_SUMS, due.size()))) {
      Total total = entry.getValue();
      upstreams.add(entry.getKey());
      tenthsOfWork.add((int) Math.round(total.work / TENTH));
      levels.add(total.level);
      total.sentWork = total.work;
      total.sentLevel = total.level;
      total.sentAt = now;
      total.sent = true;
    }
    return new CapacitySums(upstreams, tenthsOfWork, levels);
  }

  private void removeOldReports(long now) {
    reportsByOrigin
        .values()
        .removeIf(reported -> now - reported.reportedAt() > REPORT_AGE.toNanos());
  }

  private void updateTotals(long now) {
    removeOldReports(now);
    speeds.removeOld(now);
    Map<String, Integer> tenths = new HashMap<>();
    for (Reported reported : reportsByOrigin.values()) {
      CapacityReport report = reported.report();
      for (int i = 0; i < report.upstreams().size(); i++) {
        tenths.merge(
            report.upstreams().get(i), Math.max(0, report.tenthsOfWork().get(i)), Integer::sum);
      }
    }
    Set<String> ids = new HashSet<>(tenths.keySet());
    ids.addAll(speeds.upstreamIds());
    ids.forEach(id -> totalsById.computeIfAbsent(id, key -> new Total()));
    totalsById.forEach(
        (id, total) -> {
          total.work = tenths.getOrDefault(id, 0) * TENTH;
          total.level = speeds.level(id, now).orElse(CapacitySums.UNKNOWN_LEVEL);
        });
    // A sum that has become zero is sent once more before it is dropped.
    totalsById
        .entrySet()
        .removeIf(entry -> !ids.contains(entry.getKey()) && entry.getValue().sentWork == 0);
  }
}
