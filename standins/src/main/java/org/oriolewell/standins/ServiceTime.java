package org.oriolewell.standins;

import java.util.List;
import java.util.Random;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.Settings;

/** Service times drawn from a distribution with a seed. */
final class ServiceTime {
  static final Setting<String> DISTRIBUTION =
      Setting.choice(
          "service_time.distribution",
          "lognormal",
          List.of("constant", "exponential", "lognormal"),
          "Distribution of the service time.");
  static final Setting<Double> MEDIAN_MILLIS =
      Setting.number(
          "service_time.median_ms", 5, 0, 600_000, "Median of the service time, in milliseconds.");
  static final Setting<Double> SIGMA =
      Setting.number(
          "service_time.sigma", 0.4, 0, 5, "Standard deviation of a lognormal time's logarithm.");
  static final Setting<Integer> SEED =
      Setting.integer("service_time.seed", 1, 0, Integer.MAX_VALUE, "Seed of the service times.");

  private final String distribution;
  private final double medianMillis;
  private final double sigma;
  private final Random random;

  private ServiceTime(Settings settings) {
    distribution = settings.value(DISTRIBUTION);
    medianMillis = settings.value(MEDIAN_MILLIS);
    sigma = settings.value(SIGMA);
    random = new Random(settings.value(SEED));
  }

  static ServiceTime of(Settings settings) {
    return new ServiceTime(settings);
  }

  /** Returns the next service time. */
  synchronized long nextNanos() {
    double millis =
        switch (distribution) {
          case "constant" -> medianMillis;
          case "exponential" -> -Math.log(1 - random.nextDouble()) * medianMillis / Math.log(2);
          default -> medianMillis * Math.exp(sigma * random.nextGaussian());
        };
    return CommonSettings.nanos(millis);
  }
}
