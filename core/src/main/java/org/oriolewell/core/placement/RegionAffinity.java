package org.oriolewell.core.placement;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.oriolewell.core.routing.Hashing;

/**
 * Cost of serving a request in a region whose engines probably don't cache the shared parts of its
 * prompt.
 *
 * <p>Load pattern: requests with the same large shared part arrive in several regions within the
 * time for which engines keep it. If each region serves its own callers (the plain baseline), each
 * region reads the part again, which delays the tokens of all requests of that engine. Each shared
 * part therefore has one home region, chosen by rendezvous hashing, so that all gateways agree
 * without messages. The cost is weighed against the expected times of the regions, so that a loaded
 * home region is avoided, and small parts don't leave their callers' region.
 */
public final class RegionAffinity {
  /** Tokens that an engine reads in a millisecond; the engines in use read 40 to 94. */
  private static final double READ_TOKENS_PER_MILLI = 50;

  /**
   * Multiple of the time to read the shared parts again. The time counts twice, since reading
   * delays the request itself and the other requests of the engine.
   */
  private static final double READ_COST_FACTOR = 2;

  private RegionAffinity() {}

  /**
   * Returns the home region of a shared prompt part, by weighted rendezvous hashing: a region is
   * the home of as large a share of all parts as it has of the engines.
   *
   * @param prefixHash hash of the shared part; 0 if the prompt has none
   * @param enginesByRegion number of usable engines of each region that can serve the request
   * @return empty if the prompt has no shared part, or no region has an engine
   */
  public static Optional<String> home(long prefixHash, Map<String, Integer> enginesByRegion) {
    return prefixHash == 0
        ? Optional.empty()
        : enginesByRegion.entrySet().stream()
            .filter(entry -> entry.getValue() > 0)
            .max(
                Comparator.comparingDouble(
                    entry ->
                        Hashing.weightedRank(
                            prefixHash, Hashing.of("region/" + entry.getKey()), entry.getValue())))
            .map(Map.Entry::getKey);
  }

  /** Returns the cost of serving a request outside its home region, in milliseconds. */
  public static double costOutsideHomeMillis(PromptSize size) {
    return size.sharedTokens() / READ_TOKENS_PER_MILLI * READ_COST_FACTOR;
  }
}
