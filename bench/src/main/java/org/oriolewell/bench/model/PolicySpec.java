package org.oriolewell.bench.model;

/**
 * Policies of a run.
 *
 * @param routing how entries choose
 * @param admission what agents do
 * @param hedge whether entries start a second attempt after the p95 time
 */
record PolicySpec(Routing routing, AdmissionKind admission, boolean hedge) {
  /** How entries choose an upstream. */
  enum Routing {
    /** The router in use. */
    ROUTER,
    /** Baseline. */
    RANDOM,
    /** Baseline. */
    ROUND_ROBIN,
    /** Baseline. */
    LEAST_REPORTED,
    /** Baseline: power of two choices over all zones and regions. */
    PLACE_BLIND
  }

  /** What agents do with calls. */
  enum AdmissionKind {
    /** The admission in use, with the gradient limit. */
    ADMISSION,
    /** The admission in use, with the limit fixed at the upstream's slots. */
    FIXED,
    /** Baseline: first come, first served, with the limit fixed at the upstream's slots. */
    FIFO,
    /** Baseline: no limit. */
    NONE
  }

  static PolicySpec product() {
    return new PolicySpec(Routing.ROUTER, AdmissionKind.ADMISSION, true);
  }

  String label() {
    String text = routing + " + " + admission + (hedge ? " + hedge" : "");
    return text.toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
