package org.oriolewell.core.config;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;

/**
 * Decides which entries watch the document in the store: in each region the {@value #PER_REGION}
 * with the highest rendezvous rank. Processes that know different entries may choose differently;
 * this only changes the number of watches for a while.
 */
public final class WatcherElection {
  /** Watchers of each region. */
  public static final int PER_REGION = 3;

  private WatcherElection() {}

  /** Returns whether an entry is one of its region's watchers among the known entries. */
  public static boolean watches(ConfigMember self, Collection<ConfigMember> entries) {
    long above =
        entries.stream()
            .filter(entry -> entry.region().equals(self.region()))
            .filter(entry -> RANK.compare(entry, self) > 0)
            .distinct()
            .count();
    return above < PER_REGION;
  }

  private static final Comparator<ConfigMember> RANK =
      Comparator.comparingLong(WatcherElection::hash).thenComparing(ConfigMember::name);

  private static long hash(ConfigMember member) {
    return Hashing.farmHashFingerprint64()
        .hashString("config/" + member.name(), StandardCharsets.UTF_8)
        .asLong();
  }
}
