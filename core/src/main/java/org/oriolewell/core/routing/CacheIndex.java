package org.oriolewell.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Index of the upstream that last reported that it holds a prompt prefix. Events arrive late and
 * some are lost: after a gap in an upstream's sequence numbers all its older reports are ignored.
 * Routing uses a report only as a hint.
 */
final class CacheIndex {
  private final Map<Long, HolderReport> reports;
  private final Map<String, EventFeed> eventFeeds = new HashMap<>();

  CacheIndex(int capacity) {
    this.reports =
        new LinkedHashMap<>(64, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, HolderReport> eldest) {
            return size() > capacity;
          }
        };
  }

  /** Applies an event; one that is older than the last event of its upstream has no effect. */
  void apply(CacheEvent event, long now) {
    EventFeed eventFeed = eventFeeds.computeIfAbsent(event.upstream(), name -> new EventFeed());
    if (event.sequence() <= eventFeed.lastSequence) {
      return;
    }
    if (event.sequence() != eventFeed.lastSequence + 1) {
      eventFeed.epoch++;
    }
    eventFeed.lastSequence = event.sequence();
    HolderReport report = reports.get(event.prefix());
    if (event.stored()) {
      reports.put(event.prefix(), new HolderReport(event.upstream(), eventFeed.epoch, now));
    } else if (report != null && report.upstream().equals(event.upstream())) {
      reports.remove(event.prefix());
    }
  }

  /** Removes all reports of an upstream, because it restarted and its cache is empty. */
  void forget(String upstream) {
    eventFeeds.remove(upstream);
    reports.values().removeIf(report -> report.upstream().equals(upstream));
  }

  /**
   * Returns the host name of the upstream that last reported that it holds a prefix; null if there
   * is no such report or it is older than its lifetime.
   */
  @Nullable String holder(long prefix, long now, long lifetimeNanos) {
    HolderReport report = reports.get(prefix);
    if (report == null || now - report.reportedAt() > lifetimeNanos) {
      return null;
    }
    EventFeed eventFeed = eventFeeds.get(report.upstream());
    return eventFeed != null && eventFeed.epoch == report.epoch() ? report.upstream() : null;
  }

  /**
   * An upstream's report that it holds a prefix, with the epoch of its events and the monotonic
   * time of arrival in nanoseconds.
   */
  private record HolderReport(String upstream, long epoch, long reportedAt) {}

  /** Last sequence number of an upstream's events; the epoch grows at each gap. */
  private static final class EventFeed {
    private long lastSequence;
    private long epoch;
  }
}
