package org.oriolewell.standins;

import java.time.Duration;
import java.util.List;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.SettingsSpec;

/** Settings of the model engine. */
final class EngineSettings {
  static final Setting<Integer> MAX_BATCH =
      Setting.integer("batch.max", 32, 1, 4096, "Number of sequences that a step serves.");
  static final Setting<Integer> QUEUE =
      Setting.integer(
          "batch.queue", 512, 0, 1_000_000, "Sequences that wait; more are refused with 503.");
  static final Setting<Double> STEP_MILLIS =
      Setting.number("step.base_ms", 8, 0.1, 60_000, "Time of a step with no sequence.");
  static final Setting<Double> SEQUENCE_MILLIS =
      Setting.number(
          "step.per_sequence_ms", 0.2, 0, 1000, "Time that each sequence adds to a step.");
  static final Setting<Double> PREFILL_MICROS =
      Setting.number(
          "prefill.per_token_us",
          20,
          0,
          1_000_000,
          "Time that each prompt token outside the cache adds to the first step, in microseconds.");
  static final Setting<Integer> CACHE_BLOCKS =
      Setting.integer(
          "cache.blocks", 4096, 0, 10_000_000, "Prompt blocks that the prefix cache holds.");
  static final Setting<Duration> CACHE_EVENT_LAG =
      CommonSettings.time("cache.event_lag_ms", 200, "Time until a cache event can be read.");
  static final Setting<Double> CACHE_EVENT_LOSS =
      Setting.number("cache.event_loss", 0, 0, 1, "Part of the cache events that are never shown.");
  static final Setting<Duration> LOAD_LAG =
      CommonSettings.time("load.lag_ms", 200, "Age of the load report.");
  static final Setting<List<String>> MODELS =
      Setting.strings(
          "models",
          List.of("base:1"),
          "Models at the start, as MODEL:VERSION or MODEL:VERSION+ADAPTER.");
  static final Setting<String> ROLE =
      Setting.string("role", "generate", "Role at the start; others don't generate.");
  static final Setting<Boolean> CHECKS_FENCING =
      Setting.flag("orders.checks_fencing", true, "Whether an old fencing token is refused.");
  static final Setting<Duration> LOAD_TIME =
      CommonSettings.time("orders.load_ms", 500, "Time to load a model without a weight store.");
  static final Setting<String> WEIGHTS =
      Setting.string(
          "orders.weights", "", "Base of the weight store to load from; empty for none.");
  static final Setting<Integer> SEED =
      Setting.integer("seed", 1, 0, Integer.MAX_VALUE, "Seed of the losses.");

  /** Settings of this kind. */
  static final SettingsSpec SPEC =
      CommonSettings.spec(
          "engine",
          MAX_BATCH,
          QUEUE,
          STEP_MILLIS,
          SEQUENCE_MILLIS,
          PREFILL_MICROS,
          CACHE_BLOCKS,
          CACHE_EVENT_LAG,
          CACHE_EVENT_LOSS,
          LOAD_LAG,
          MODELS,
          ROLE,
          CHECKS_FENCING,
          LOAD_TIME,
          WEIGHTS,
          SEED);

  private EngineSettings() {}
}
