package org.oriolewell.core.stage;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Chooses the availability zone in which a stage should run.
 *
 * <p>Each piece of a stage reads the results of all pieces of the stages before it, so a stage of
 * many pieces transfers its inputs many times. During a load burst the free upstreams are spread
 * over the zones, and most of these bytes would cross zones.
 */
public final class StageZone {
  /**
   * Smallest transfer for which a zone is preferred, in bytes: what a 21 Mbit/s link between
   * regions carries in a tenth of a second, and far less than stages with large results transfer.
   */
  private static final long MIN_PREFERENCE_BYTES = 256 << 10;

  private StageZone() {}

  /**
   * Returns the availability zone in which a stage transfers the fewest bytes between zones.
   *
   * @param readByZone bytes that all pieces of the stage together read, by zone that stores them
   * @param readerZone zone in which the stage's results are read; empty if it isn't known yet
   * @param resultBytes total size of the stage's results, in bytes
   * @return the zone, or an empty text if the transfers are too small to prefer one
   */
  public static String choose(Map<String, Long> readByZone, String readerZone, long resultBytes) {
    Set<String> candidates = new TreeSet<>(readByZone.keySet());
    if (!readerZone.isEmpty()) {
      candidates.add(readerZone);
    }
    String bestZone = "";
    long mostLocalBytes = MIN_PREFERENCE_BYTES - 1;
    for (String zone : candidates) {
      long localBytes =
          readByZone.getOrDefault(zone, 0L) + (zone.equals(readerZone) ? resultBytes : 0);
      if (localBytes > mostLocalBytes) {
        bestZone = zone;
        mostLocalBytes = localBytes;
      }
    }
    return bestZone;
  }
}
