package org.oriolewell.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.membership.Member;
import org.oriolewell.core.membership.MemberState;
import org.oriolewell.core.routing.Choice.Reason;

/**
 * Chooses an upstream of one pool for each call. It uses a subset of the pool of bounded size, so
 * that the time of a decision does not grow with the fleet. Times are nanoseconds of one monotonic
 * clock. Not thread-safe.
 */
public final class Router implements RoutingPolicy {
  /** Number of prompt prefixes for which the holder is remembered. */
  private static final int MAX_CACHE_REPORTS = 4096;

  private static final long CACHE_REPORT_LIFETIME_NANOS = 60_000_000_000L;

  /** Latency assumed while no upstream of the subset has answered a call. */
  private static final double INITIAL_LATENCY_NANOS = 20e6;

  /**
   * Largest latency, relative to the mean of the subset, at which an upstream keeps its prefixes.
   */
  private static final double MAX_PREFIX_LATENCY_FACTOR = 2.5;

  /** Latency relative to the mean of the subset above which an upstream's calls may be hedged. */
  private static final double MIN_HEDGE_LATENCY_FACTOR = 1.5;

  private final String pool;
  private final RouterSettings settings;
  private final Place ownPlace;
  private final long processHash;
  private final RandomGenerator random;
  private final LinkBudget link;
  private final CacheIndex cache = new CacheIndex(MAX_CACHE_REPORTS);
  private final Map<String, UpstreamStats> statsByName = new HashMap<>();
  private UpstreamStats[] subset = new UpstreamStats[0];
  private UpstreamStats[] eligible = new UpstreamStats[0];

  // Results of the last scan of the subset, taken for each decision.
  private long lastScanAt;
  private double meanLatency;
  private double meanLoad;

  /** Largest share that slow start allows to an upstream of the subset. */
  private double maxSlowStartShare;

  /** Whether too few upstreams are usable, so that suspect and ejected ones are used too. */
  private boolean panic;

  private Router(
      String pool,
      RouterSettings settings,
      Place ownPlace,
      String process,
      RandomGenerator random) {
    this.pool = pool;
    this.settings = settings;
    this.ownPlace = ownPlace;
    this.processHash = Hashing.of(process);
    this.random = random;
    this.link = new LinkBudget(settings.linkBytesPerSecond(), settings.linkBurstBytes());
  }

  /**
   * Returns a router without upstreams.
   *
   * @param pool name of the pool, for the log
   * @param settings limits and factors of the choice
   * @param ownPlace zone and region in which this process runs
   * @param process name of this process, which makes the subsets of processes differ
   * @param random source of random numbers
   */
  public static Router create(
      String pool,
      RouterSettings settings,
      Place ownPlace,
      String process,
      RandomGenerator random) {
    return new Router(pool, settings, ownPlace, process, random);
  }

  /** Replaces the pool's candidates and selects the subset anew. */
  public void update(Collection<Member> candidates, long now) {
    List<Member> selected = Subset.select(candidates, ownPlace, processHash, settings);
    List<UpstreamStats> nextSubset = new ArrayList<>(selected.size());
    for (Member member : selected) {
      UpstreamStats existing = statsByName.get(member.name());
      if (existing == null) {
        existing = new UpstreamStats(member, Subset.tier(member, ownPlace), now);
        statsByName.put(member.name(), existing);
      } else {
        if (!existing.incarnation.equals(member.incarnation())) {
          cache.forget(member.name());
        }
        existing.observe(member, now);
      }
      nextSubset.add(existing);
    }
    removeOthers(nextSubset);
    subset = nextSubset.toArray(UpstreamStats[]::new);
    eligible = new UpstreamStats[subset.length];
  }

  /**
   * Removes the statistics of upstreams outside the subset, except while a call is in flight at
   * them.
   */
  private void removeOthers(List<UpstreamStats> nextSubset) {
    statsByName
        .values()
        .removeIf(
            upstream -> {
              boolean outside = !nextSubset.contains(upstream);
              if (outside) {
                upstream.state = MemberState.PROPOSED;
              }
              return outside && upstream.inFlight == 0;
            });
  }

  /** Returns the host names of the upstreams to keep connections to, nearest first. */
  public List<String> subset() {
    List<String> names = new ArrayList<>(subset.length);
    for (UpstreamStats upstream : subset) {
      names.add(upstream.name);
    }
    return names;
  }

  /** Records that a call was sent to an upstream; to be called right after {@link #choose}. */
  public void started(String upstream) {
    UpstreamStats upstreamStats = statsByName.get(upstream);
    if (upstreamStats != null) {
      upstreamStats.started(lastScanAt);
    }
  }

  /**
   * Records that a call ended.
   *
   * @param upstream host name of the upstream that received the call
   * @param result how the call ended
   * @param latencyNanos time from sending the call to its answer; for a text generation, to its
   *     first token
   * @param now monotonic time in nanoseconds
   */
  public void finished(String upstream, CallResult result, long latencyNanos, long now) {
    UpstreamStats upstreamStats = statsByName.get(upstream);
    if (upstreamStats == null) {
      return;
    }
    upstreamStats.ended(now);
    switch (result) {
      case ANSWERED -> upstreamStats.succeeded(latencyNanos, now);
      case FAILED -> upstreamStats.failed(settings, now);
      case REFUSED -> upstreamStats.refused(now);
      default -> {}
    }
  }

  /** Records the length of the queue in a load report from an upstream's agent. */
  public void reported(String upstream, int queued, long now) {
    UpstreamStats upstreamStats = statsByName.get(upstream);
    if (upstreamStats != null) {
      upstreamStats.reported(queued, now);
    }
  }

  /** Records an engine's report that it stored or evicted a prompt prefix. */
  public void cacheEvent(CacheEvent event, long now) {
    if (statsByName.containsKey(event.upstream())) {
      cache.apply(event, now);
    }
  }

  @Override
  public Choice choose(RouteRequest request, long now) {
    scan(now);
    if (request.hedge() && !hasStraggler(request.excluded(), now)) {
      return choice(List.of(), null, Reason.NO_STRAGGLER);
    }
    int localCount = collectUsable(request, 0, 1, now);
    if (localCount > 0) {
      Choice byPrefix = request.prefix() == 0 ? null : chooseByPrefix(request, localCount, now);
      return byPrefix != null ? byPrefix : chooseLocal(request, now);
    }
    return request.hedge()
        ? choice(List.of(), null, Reason.NO_UPSTREAM)
        : chooseRemote(request, now);
  }

  /**
   * Returns whether one of the upstreams has a latency far above the mean. A call that takes long
   * at an upstream that answers others in time would take as long elsewhere: in the queue model
   * hedging such calls tripled the missed deadlines at load 0.9.
   */
  private boolean hasStraggler(List<String> names, long now) {
    for (String name : names) {
      UpstreamStats upstream = statsByName.get(name);
      if (upstream == null
          || upstream.latency(meanLatency, settings, now)
              > MIN_HEDGE_LATENCY_FACTOR * meanLatency) {
        return true;
      }
    }
    return false;
  }

  private Choice chooseLocal(RouteRequest request, long now) {
    int zoneCount = collectUsable(request, 0, 0, now);
    List<Candidate> candidates = new ArrayList<>(4);
    UpstreamStats best = cheapestOfTwo(zoneCount, 1, null, candidates, now);
    int otherZonesCount = collectUsable(request, 1, 1, now);
    best = cheapestOfTwo(otherZonesCount, settings.otherZoneCostFactor(), best, candidates, now);
    return choice(candidates, best, best != null && best.tier == 0 ? Reason.ZONE : Reason.REGION);
  }

  private Choice chooseRemote(RouteRequest request, long now) {
    int remoteCount = collectUsable(request, 2, 2, now);
    if (remoteCount == 0) {
      return choice(List.of(), null, Reason.NO_UPSTREAM);
    }
    List<Candidate> candidates = new ArrayList<>(2);
    UpstreamStats best = cheapestOfTwo(remoteCount, 1, null, candidates, now);
    return link.take(request.bytes(), now)
        ? choice(candidates, best, Reason.OTHER_REGION)
        : choice(candidates, null, Reason.LINK_BUDGET);
  }

  /**
   * Returns the upstream preferred for the prompt's prefix, or null if all candidates are
   * overloaded or slow.
   */
  private @Nullable Choice chooseByPrefix(RouteRequest request, int eligibleCount, long now) {
    double maxLoad = maxPrefixLoad(eligibleCount, now);
    String holder = cache.holder(request.prefix(), now, CACHE_REPORT_LIFETIME_NANOS);
    UpstreamStats best = null;
    long bestRank = 0;
    for (int i = 0; i < eligibleCount; i++) {
      UpstreamStats upstream = eligible[i];
      boolean acceptsCall =
          upstream.load(now) < maxLoad
              && upstream.latency(meanLatency, settings, now)
                  <= MAX_PREFIX_LATENCY_FACTOR * meanLatency;
      if (!acceptsCall) {
        continue;
      }
      if (upstream.name.equals(holder)) {
        return onlyCandidate(upstream, now, Reason.CACHE);
      }
      // Upstreams of this zone precede those of other zones, whatever their rank.
      long rank = Hashing.rank(request.prefix(), upstream.nameHash);
      boolean isNearer = best != null && upstream.tier < best.tier;
      boolean hasHigherRank = best != null && upstream.tier == best.tier && rank > bestRank;
      if (best == null || isNearer || hasHigherRank) {
        best = upstream;
        bestRank = rank;
      }
    }
    return best == null ? null : onlyCandidate(best, now, Reason.PREFIX);
  }

  /**
   * Returns the load from which on an upstream takes no more calls by prefix: the mean load with
   * one more call, times a factor.
   */
  private double maxPrefixLoad(int eligibleCount, long now) {
    int totalLoad = 1;
    for (int i = 0; i < eligibleCount; i++) {
      totalLoad += eligible[i].load(now);
    }
    return Math.max(1, Math.ceil(settings.maxRelativeLoad() * totalLoad / eligibleCount));
  }

  private Choice onlyCandidate(UpstreamStats upstream, long now, Reason reason) {
    double cost = upstream.cost(meanLatency, settings, now);
    return choice(List.of(candidate(upstream, cost, now)), upstream, reason);
  }

  private Choice choice(List<Candidate> candidates, @Nullable UpstreamStats best, Reason reason) {
    return new Choice(pool, candidates, best == null ? null : best.name, reason);
  }

  private Candidate candidate(UpstreamStats upstream, double cost, long now) {
    long micros = (long) (upstream.latency(meanLatency, settings, now) / 1000);
    return new Candidate(upstream.name, upstream.load(now), micros, cost);
  }

  /**
   * Compares two random upstreams of {@code eligible} with an alternative and returns the cheapest.
   */
  private @Nullable UpstreamStats cheapestOfTwo(
      int eligibleCount,
      double costFactor,
      @Nullable UpstreamStats alternative,
      List<Candidate> candidates,
      long now) {
    if (eligibleCount == 0) {
      return alternative;
    }
    int firstIndex = random.nextInt(eligibleCount);
    UpstreamStats best = alternative;
    double bestCost =
        alternative == null ? Double.MAX_VALUE : alternative.cost(meanLatency, settings, now);
    for (int i = 0; i < Math.min(2, eligibleCount); i++) {
      int index =
          i == 0
              ? firstIndex
              : (firstIndex + 1 + random.nextInt(eligibleCount - 1)) % eligibleCount;
      UpstreamStats upstream = eligible[index];
      double cost = costFactor * upstream.cost(meanLatency, settings, now);
      candidates.add(candidate(upstream, cost, now));
      if (best == null || cost < bestCost) {
        best = upstream;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Collects the usable upstreams of a range of tiers into {@code eligible} and returns their
   * number. If slow start leaves none, those above its cap are collected too.
   */
  private int collectUsable(RouteRequest request, int fromTier, int toTier, long now) {
    int count = collectUsable(request, fromTier, toTier, !panic, now);
    return count > 0 ? count : collectUsable(request, fromTier, toTier, false, now);
  }

  private int collectUsable(
      RouteRequest request, int fromTier, int toTier, boolean limitSlowStart, long now) {
    int count = 0;
    for (UpstreamStats upstream : subset) {
      if (upstream.tier >= fromTier
          && upstream.tier <= toTier
          && usable(upstream, panic, now)
          && (!limitSlowStart || belowSlowStartCap(upstream, now))
          && !(request.hedge() && upstream.hasReportedQueue(now))
          && !request.excluded().contains(upstream.name)) {
        eligible[count++] = upstream;
      }
    }
    return count;
  }

  private static boolean usable(UpstreamStats upstream, boolean panic, long now) {
    return upstream.state == MemberState.UP && (panic || !upstream.ejected(now))
        || panic && upstream.state == MemberState.SUSPECT;
  }

  /**
   * Returns whether an upstream may take one more call in slow start: its calls in flight must be
   * below its share of the mean, but at least one is allowed. The share is relative to the upstream
   * that is furthest in its own slow start, so that a pool whose upstreams all start at once is not
   * throttled.
   */
  private boolean belowSlowStartCap(UpstreamStats upstream, long now) {
    double relativeShare = upstream.slowStartShare(settings, now) / maxSlowStartShare;
    return relativeShare >= 1
        || upstream.inFlight < Math.max(1, Math.ceil(2 * relativeShare * meanLoad));
  }

  /**
   * Computes the mean load and latency of the subset, and whether too few upstreams are usable, so
   * that suspect and ejected ones must be used as well.
   */
  private void scan(long now) {
    double latencySum = 0;
    int measuredCount = 0;
    int totalLoad = 0;
    int upCount = 0;
    int usableCount = 0;
    lastScanAt = now;
    maxSlowStartShare = 0;
    for (UpstreamStats upstream : subset) {
      if (upstream.hasLatency()) {
        latencySum += upstream.measuredLatency();
        measuredCount++;
      }
      if (upstream.state == MemberState.UP) {
        totalLoad += upstream.load(now);
        upCount++;
        maxSlowStartShare = Math.max(maxSlowStartShare, upstream.slowStartShare(settings, now));
      }
      usableCount += usable(upstream, false, now) ? 1 : 0;
    }
    meanLatency = measuredCount == 0 ? INITIAL_LATENCY_NANOS : latencySum / measuredCount;
    meanLoad = upCount == 0 ? 0 : (double) totalLoad / upCount;
    panic = usableCount < settings.panicThreshold() * subset.length;
  }
}
