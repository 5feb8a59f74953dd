package org.oriolewell.core.config;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;

/**
 * Elects the entries that watch the configuration document in the store: in each region the {@value
 * #WATCHERS_PER_REGION} with the highest rendezvous hash. Processes that know different entries may
 * elect different watchers, which only changes the number of watches for a while.
 */
public final class WatcherElection {
  /** Number of entries per region that watch the document in the store. */
  public static final int WATCHERS_PER_REGION = 3;

  private WatcherElection() {}

  /** Returns whether an entry is elected as a watcher of its region among the known entries. */
  public static boolean watches(ConfigMember self, Collection<ConfigMember> entries) {
    long higherRanked =
        entries.stream()
            .filter(entry -> entry.region().equals(self.region()))
            .filter(entry -> BY_RENDEZVOUS_HASH.compare(entry, self) > 0)
            .distinct()
            .count();
    return higherRanked < WATCHERS_PER_REGION;
  }

  private static final Comparator<ConfigMember> BY_RENDEZVOUS_HASH =
      Comparator.comparingLong(WatcherElection::rendezvousHash).thenComparing(ConfigMember::name);

  private static long rendezvousHash(ConfigMember member) {
    return Hashing.farmHashFingerprint64()
        .hashString("config/" + member.name(), StandardCharsets.UTF_8)
        .asLong();
  }
}
