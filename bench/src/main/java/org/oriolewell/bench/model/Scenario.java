package org.oriolewell.bench.model;

/**
 * What happens in a run.
 *
 * @param name name in the report
 * @param load offered load of both firms together, as a part of capacity, by firm and time
 * @param slowness factor on the service time, by upstream and time
 * @param failing whether an upstream fails each call at once, by upstream and time
 * @param lostZone zone that is cut off from {@code lostAt} on; empty for none
 * @param lostAt time in seconds
 */
record Scenario(
    String name, Load load, Slowness slowness, Failing failing, String lostZone, double lostAt) {
  /** Offered load of a firm (0 or 1) at a time in seconds. */
  @FunctionalInterface
  interface Load {
    double of(int firm, double second);
  }

  /** Factor on the service time of an upstream. */
  @FunctionalInterface
  interface Slowness {
    double of(String upstream, double second);
  }

  /** Whether an upstream fails fast. */
  @FunctionalInterface
  interface Failing {
    boolean at(String upstream, double second);
  }

  static Scenario load(String name, Load load) {
    return new Scenario(name, load, (u, t) -> 1, (u, t) -> false, "", 0);
  }

  static Scenario steady(double load) {
    return load("load " + load, (firm, t) -> load / 2);
  }

  Scenario slow(Slowness slow) {
    return new Scenario(name, load, slow, failing, lostZone, lostAt);
  }

  Scenario failing(Failing fail) {
    return new Scenario(name, load, slowness, fail, lostZone, lostAt);
  }

  Scenario losing(String zone, double at) {
    return new Scenario(name, load, slowness, failing, zone, at);
  }
}
