package org.oriolewell.core.routing;

import java.time.Duration;

/**
 * Limits and factors of a {@link Router}.
 *
 * @param subsetSize largest number of upstreams of this region that the router uses
 * @param maxRemoteUpstreams largest number of upstreams of other regions that it uses while this
 *     region has too few
 * @param linkBytesPerSecond bytes that this process may send to and receive from other regions per
 *     second
 * @param linkBurstBytes bytes that may be sent to and received from other regions at once
 * @param otherZoneCostFactor factor on the cost of upstreams in other zones of this region
 * @param latencyDecayTime time after which a latency estimate without new samples is ignored
 * @param failuresToEject number of consecutive failures after which an upstream gets no calls for a
 *     while
 * @param baseEjectionTime time for which an upstream is first ejected; it doubles with each further
 *     ejection
 * @param slowStartWindow time in which an upstream that is new or has returned reaches its full
 *     share of the calls
 * @param panicThreshold share of usable upstreams in the subset below which suspect and ejected
 *     ones are used too
 * @param maxRelativeLoad load relative to the mean up to which an upstream keeps its prompt
 *     prefixes
 */
public record RouterSettings(
    int subsetSize,
    int maxRemoteUpstreams,
    double linkBytesPerSecond,
    double linkBurstBytes,
    double otherZoneCostFactor,
    Duration latencyDecayTime,
    int failuresToEject,
    Duration baseEjectionTime,
    Duration slowStartWindow,
    double panicThreshold,
    double maxRelativeLoad) {
  /**
   * Returns the default settings. The link between regions carries 20 Mb/s = 2.5 MB/s for all
   * processes of a region; one process may use a hundredth of it.
   */
  public static RouterSettings defaults() {
    return new RouterSettings(
        16,
        2,
        25_000,
        250_000,
        1.25,
        Duration.ofSeconds(10),
        5,
        Duration.ofSeconds(3),
        Duration.ofSeconds(10),
        0.5,
        1.25);
  }
}
