package org.oriolewell.bench.model;

/**
 * Size of the modelled system. Zones z1 and z2 are in region r1, z3 is in r2.
 *
 * @param upstreamsPerZone upstreams in each zone
 * @param slots calls that an upstream serves at full speed; with n times as many each takes n times
 *     as long
 * @param serviceMinMillis shortest time of a call at an upstream that is not overloaded
 * @param serviceMeanMillis mean time of such a call; the part above the minimum is exponential
 * @param deadlineMillis deadline of each request
 * @param entriesPerZone entries in each zone
 * @param warmUpSeconds time at the start that is not counted
 * @param seconds end of the arrivals
 * @param priorities number of different priorities of requests
 * @param bytes bytes of a call and its answer
 */
record ModelSettings(
    int upstreamsPerZone,
    int slots,
    double serviceMinMillis,
    double serviceMeanMillis,
    double deadlineMillis,
    int entriesPerZone,
    double warmUpSeconds,
    double seconds,
    int priorities,
    int bytes) {
  static final int ZONES = 3;

  /** Returns the size used for the report; two figures can be set by system properties. */
  static ModelSettings defaults() {
    return new ModelSettings(
        Integer.getInteger("model.upstreams", 8),
        8,
        10,
        50,
        500,
        2,
        5,
        30,
        Integer.getInteger("model.priorities", 5),
        6_000);
  }

  /** Returns the calls per second that all upstreams together serve. */
  double capacity() {
    return ZONES * upstreamsPerZone * slots * 1000 / serviceMeanMillis;
  }

  static String zone(int index) {
    return "z" + (index + 1);
  }

  static String region(String zone) {
    return "z3".equals(zone) ? "r2" : "r1";
  }

  /**
   * Returns the one-way time between zones in nanoseconds, as section 1.1 of the design gives it.
   */
  static long oneWayNanos(String from, String to) {
    if (from.equals(to)) {
      return 100_000;
    }
    return region(from).equals(region(to)) ? 1_500_000 : 20_000_000;
  }
}
