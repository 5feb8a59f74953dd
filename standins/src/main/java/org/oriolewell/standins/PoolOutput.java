package org.oriolewell.standins;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Outputs of stage pools, which depend on the operation and the input only. */
final class PoolOutput {
  private PoolOutput() {}

  /** Returns a vector for {@code encode}, documents for {@code retrieve}, else ranked items. */
  static Map<String, Object> of(String operation, String input, int items) {
    long seed = Hashes.of(operation + '\n' + input);
    return switch (operation) {
      case "encode" ->
          Map.of("vector", IntStream.range(0, items).mapToObj(i -> unit(seed, i)).toList());
      case "retrieve" -> Map.of("documents", scored(seed, items, "document"));
      default -> Map.of("ranked", scored(seed, items, "item"));
    };
  }

  private static List<Map<String, Object>> scored(long seed, int items, String name) {
    return IntStream.range(0, items)
        .mapToObj(
            i ->
                StandinServer.ordered(
                    name,
                    name + "-" + Math.floorMod(Hashes.mix(seed + i), 100_000),
                    "score",
                    unit(seed, i)))
        .toList();
  }

  /** Returns a number from 0 to 1 with four digits. */
  private static double unit(long seed, int index) {
    return Math.floorMod(Hashes.mix(seed ^ index), 10_001) / 10_000.0;
  }
}
