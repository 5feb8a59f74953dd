package org.oriolewell.standins;

import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.settings.SettingsSpec;

/** A store of model weights whose downloads share a limited rate. */
public final class WeightStandin extends BaseStandin {
  private static final Setting<Double> RATE =
      Setting.number(
          "rate_bytes", 50_000_000, 0, 1e12, "Bytes per second of all downloads; 0 for no limit.");
  private static final Setting<Integer> SIZE =
      Setting.integer(
          "size_bytes", 10_000_000, 0, Integer.MAX_VALUE, "Size of weights not listed below.");
  private static final Setting<List<String>> SIZES =
      Setting.strings("sizes", List.of(), "Sizes of single weights, as MODEL:VERSION=BYTES.");

  /** Settings of this kind. */
  public static final SettingsSpec SPEC = CommonSettings.spec("weights", RATE, SIZE, SIZES);

  private static final int PART_BYTES = 64 << 10;

  private final RateLimit rate;
  private final long defaultSize;
  private final Map<String, Double> sizes;

  private WeightStandin(Settings settings, InstantSource clock) {
    super("weights", settings, clock);
    rate = new RateLimit(settings.value(RATE), PART_BYTES, System::nanoTime);
    defaultSize = settings.value(SIZE);
    sizes = StandinServer.numbers(settings.value(SIZES));
    server
        .streaming(
            "GET", "/v1/weights/{model}/{version}", call -> "get " + name(call), this::download)
        .start(() -> Map.of("sizes", sizes));
  }

  /** Starts a weight store. */
  public static WeightStandin start(Settings settings, InstantSource clock) {
    return new WeightStandin(settings, clock);
  }

  /** Starts a weight store with the system's clock and settings in TOML, for tests. */
  public static WeightStandin start(String toml) {
    return start(CommonSettings.parse(SPEC, toml), InstantSource.system());
  }

  private static String name(HttpCall call) {
    return call.path("model") + ":" + call.path("version");
  }

  private CompletableFuture<HttpReply> download(HttpCall call, Optional<Fault> drop) {
    String name = name(call);
    server.ledger.add(call.header("Request-Id").orElse(""), "download", name);
    call.startStream(200, "application/octet-stream");
    long size = sizes.getOrDefault(name, (double) defaultSize).longValue();
    send(call, name, size, drop.map(fault -> (long) fault.value()).orElse(Long.MAX_VALUE));
    return new CompletableFuture<>();
  }

  /**
   * Sends the rest of the weights; {@code cut} is the number of bytes after which it breaks off.
   */
  private void send(HttpCall call, String name, long rest, long cut) {
    if (cut <= 0) {
      call.drop();
      return;
    }
    if (rest == 0) {
      call.endStream();
      return;
    }
    int part = (int) Math.min(Math.min(rest, cut), PART_BYTES);
    double cost = part * server.faults.slowFactor("get " + name);
    server
        .timer
        .afterNanos(rate.reserveNanos(cost))
        .thenCompose(ready -> call.write("w".repeat(part)))
        .thenRunAsync(() -> send(call, name, rest - part, cut - part));
  }
}
