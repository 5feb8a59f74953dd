package org.oriolewell.standins;

import java.time.InstantSource;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.oriolewell.runtime.program.ExitCode;
import org.oriolewell.runtime.program.Program;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.settings.SettingsSpec;

/**
 * Runs one stand-in as a program. The first argument names its kind; the others are those of {@link
 * Program}, such as {@code --settings FILE}.
 */
public final class StandinMain {
  /**
   * A kind of stand-in.
   *
   * @param spec its settings
   * @param start starts it
   */
  private record Kind(SettingsSpec spec, BiFunction<Settings, InstantSource, Standin> start) {}

  private static final Map<String, Kind> KINDS =
      new TreeMap<>(
          Map.of(
              "engine", new Kind(EngineSettings.SPEC, EngineStandin::start),
              "pool", new Kind(PoolStandin.SPEC, PoolStandin::start),
              "service", new Kind(ServiceStandin.SPEC, ServiceStandin::start),
              "store", new Kind(StoreStandin.SPEC, StoreStandin::start),
              "hostlist", new Kind(HostListStandin.SPEC, HostListStandin::start),
              "weights", new Kind(WeightStandin.SPEC, WeightStandin::start)));

  private StandinMain() {}

  /** Runs the program. */
  public static void main(String[] args) {
    Kind kind = args.length == 0 ? null : KINDS.get(args[0]);
    if (kind == null) {
      System.err.println(
          "standin: the first argument must be one of "
              + String.join(", ", KINDS.keySet())
              + "; see standin KIND --help.");
      System.exit(ExitCode.USAGE);
      return;
    }
    Program.of(
            "standin " + args[0],
            kind.spec(),
            settings -> kind.start().apply(settings, InstantSource.system()))
        .main(Arrays.copyOfRange(args, 1, args.length));
  }
}
