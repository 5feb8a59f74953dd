package org.oriolewell.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.settings.SettingsException;
import org.oriolewell.runtime.settings.SettingsSpec;

/** Settings that all kinds of stand-in share. */
final class CommonSettings {
  static final Setting<String> ADDRESS =
      Setting.string("listen.address", "127.0.0.1", "IP address to listen on.");
  static final Setting<Integer> PORT =
      Setting.integer("listen.port", 0, 0, 65535, "TCP port; 0 lets the system choose one.");
  static final Setting<Double> ONE_WAY_MILLIS =
      Setting.number(
          "network.one_way_ms",
          0,
          0,
          10_000,
          "Network latency in milliseconds, added before and after each call.");
  static final Setting<List<String>> ZONE_MILLIS =
      Setting.strings(
          "network.zones",
          List.of(),
          "Latency for callers that name their zone in the header Caller-Zone, as ZONE=MILLIS; it"
              + " replaces network.one_way_ms.");
  static final Setting<List<String>> EXTRA_PORTS =
      Setting.strings(
          "network.ports",
          List.of(),
          "Further ports with a latency of their own, as PORT=MILLIS, for callers that name no"
              + " zone.");
  static final Setting<Integer> LEDGER_LIMIT =
      Setting.integer(
          "executions.kept", 200_000, 1, 10_000_000, "Number of executions that are listed.");

  private CommonSettings() {}

  /** Returns the specification of one kind's settings. */
  static SettingsSpec spec(String kind, Setting<?>... own) {
    List<Setting<?>> all =
        new ArrayList<>(
            List.of(ADDRESS, PORT, ONE_WAY_MILLIS, ZONE_MILLIS, EXTRA_PORTS, LEDGER_LIMIT));
    all.addAll(List.of(own));
    return SettingsSpec.of("standin " + kind, all);
  }

  /**
   * Reads settings that a test gives as text.
   *
   * @throws IllegalArgumentException if they are wrong
   */
  static Settings parse(SettingsSpec spec, String toml) {
    try {
      return spec.parse("settings", toml);
    } catch (SettingsException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  /** Returns a number of milliseconds as nanoseconds. */
  static long nanos(double millis) {
    return (long) (millis * 1_000_000);
  }

  /** Returns a setting for a time of up to an hour. */
  static Setting<Duration> time(String key, long millis, String description) {
    return Setting.millis(
        key, Duration.ofMillis(millis), Duration.ZERO, Duration.ofHours(1), description);
  }
}
