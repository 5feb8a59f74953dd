package org.oriolewell.core.routing;

import java.time.Duration;

/**
 * Settings of a router.
 *
 * @param subsetSize most upstreams of this region that the router uses
 * @param maxRemoteUpstreams most upstreams of other regions that it uses while this region has too
 *     few
 * @param linkBytesPerSecond bytes that this process may send to and receive from other regions
 * @param linkBurstBytes bytes that may be used at once
 * @param otherZoneCostFactor factor on the cost of upstreams in other zones of this region
 * @param latencyDecayTime time after which a latency without new samples counts no longer
 * @param failuresToEject failures in a row that eject an upstream
 * @param baseEjectionTime first ejection time; it doubles for each further ejection
 * @param slowStartWindow time in which an upstream that is new or has returned reaches its full
 *     share
 * @param panicThreshold share of the subset below which suspect and ejected upstreams are used too
 * @param maxRelativeLoad factor on the mean load up to which a prefix keeps its upstream
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
   * Returns the default settings. The link carries 20 Mb/s = 2.5 MB/s for all processes of a
   * region; one process may use a hundredth of it.
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
