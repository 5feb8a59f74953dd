package org.oriolewell.core.stage;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Chooses the availability zone in which a stage should run.
 *
 * <p>Load pattern: each piece of a stage reads the results of all pieces of the stages before it,
 * so a stage of many pieces moves many times the bytes of its inputs. Under a burst the free
 * upstreams are spread over the zones, and most of these bytes would cross zones.
 */
public final class StageZone {
  /**
   * Bytes below which the zone doesn't matter: a tenth of a second of a link between regions of 21
   * Mbit/s, and far below what the stages with large results move.
   */
  private static final long MIN_BYTES = 256 << 10;

  private StageZone() {}

  /**
   * Returns the zone in which a stage moves the fewest bytes between zones.
   *
   * @param readByZone bytes that the pieces of the stage read together, by zone
   * @param reader zone in which the results are read; empty if it isn't known yet
   * @param made bytes of all results of the stage
   * @return the zone, or an empty text if it hardly matters
   */
  public static String choose(Map<String, Long> readByZone, String reader, long made) {
    Set<String> candidates = new TreeSet<>(readByZone.keySet());
    if (!reader.isEmpty()) {
      candidates.add(reader);
    }
    String best = "";
    long mostKept = MIN_BYTES - 1;
    for (String zone : candidates) {
      long kept = readByZone.getOrDefault(zone, 0L) + (zone.equals(reader) ? made : 0);
      if (kept > mostKept) {
        best = zone;
        mostKept = kept;
      }
    }
    return best;
  }
}
