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
 * Chooses upstreams of one pool. It keeps a bounded subset of the pool, so a decision takes
 * constant time in the fleet's size. Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class Router implements RoutingPolicy {
  private static final int CACHE_CLAIMS = 4096;
  private static final long CACHE_CLAIM_LIFETIME_NANOS = 60_000_000_000L;
  private static final double INITIAL_LATENCY_NANOS = 20e6;

  /** An upstream slower than this factor times the mean loses its prefixes. */
  private static final double SLOW_FACTOR = 2.5;

  /** Calls at an upstream slower than this factor times the mean may be hedged. */
  private static final double HEDGE_FACTOR = 1.5;

  private final String pool;
  private final RouterSettings settings;
  private final Place here;
  private final long process;
  private final RandomGenerator random;
  private final LinkBudget link;
  private final CacheIndex cache = new CacheIndex(CACHE_CLAIMS);
  private final Map<String, UpstreamStats> stats = new HashMap<>();
  private UpstreamStats[] subset = new UpstreamStats[0];
  private UpstreamStats[] eligible = new UpstreamStats[0];

  // Results of the last scan of the subset.
  private long scannedAt;
  private double meanLatency;
  private double meanLoad;
  private double maxRamp;
  private boolean panic;

  private Router(
      String pool, RouterSettings settings, Place here, String process, RandomGenerator random) {
    this.pool = pool;
    this.settings = settings;
    this.here = here;
    this.process = Hashing.of(process);
    this.random = random;
    this.link = new LinkBudget(settings.linkBytesPerSecond(), settings.linkBurstBytes());
  }

  /**
   * Returns a router without upstreams.
   *
   * @param pool pool, for the log
   * @param settings settings
   * @param here where this process runs
   * @param process process name, which makes the subsets of processes differ
   * @param random source of random numbers
   */
  public static Router create(
      String pool, RouterSettings settings, Place here, String process, RandomGenerator random) {
    return new Router(pool, settings, here, process, random);
  }

  /** Takes the pool's candidates and selects the subset anew. */
  public void update(Collection<Member> candidates, long now) {
    List<Member> selected = Subset.select(candidates, here, process, settings);
    List<UpstreamStats> next = new ArrayList<>(selected.size());
    for (Member member : selected) {
      UpstreamStats known = stats.get(member.name());
      if (known == null) {
        known = new UpstreamStats(member, Subset.tier(member, here), now);
        stats.put(member.name(), known);
      } else {
        if (!known.incarnation.equals(member.incarnation())) {
          cache.forget(member.name());
        }
        known.observe(member, now);
      }
      next.add(known);
    }
    forgetOthers(next);
    subset = next.toArray(UpstreamStats[]::new);
    eligible = new UpstreamStats[subset.length];
  }

  /** Keeps counters of upstreams outside the subset only until their last call has ended. */
  private void forgetOthers(List<UpstreamStats> kept) {
    stats
        .values()
        .removeIf(
            upstream -> {
              boolean outside = !kept.contains(upstream);
              if (outside) {
                upstream.state = MemberState.PROPOSED;
              }
              return outside && upstream.inFlight == 0;
            });
  }

  /** Returns the names of the upstreams to keep connections to, nearest first. */
  public List<String> subset() {
    List<String> names = new ArrayList<>(subset.length);
    for (UpstreamStats upstream : subset) {
      names.add(upstream.name);
    }
    return names;
  }

  /** Records that a call was sent to an upstream right after it was chosen. */
  public void started(String upstream) {
    UpstreamStats found = stats.get(upstream);
    if (found != null) {
      found.started(scannedAt);
    }
  }

  /**
   * Records that a call ended.
   *
   * @param upstream host name
   * @param result how it ended
   * @param latencyNanos time from sending to the answer; for a generating call, to its first token
   * @param now monotonic time in nanoseconds
   */
  public void finished(String upstream, CallResult result, long latencyNanos, long now) {
    UpstreamStats found = stats.get(upstream);
    if (found == null) {
      return;
    }
    found.ended(now);
    switch (result) {
      case ANSWERED -> found.succeeded(latencyNanos, now);
      case FAILED -> found.failed(settings, now);
      case REFUSED -> found.refused(now);
      default -> {}
    }
  }

  /** Records the queue length in a load report that arrived from an upstream's agent. */
  public void reported(String upstream, int queued, long now) {
    UpstreamStats found = stats.get(upstream);
    if (found != null) {
      found.reported(queued, now);
    }
  }

  /** Records an engine's cache event. */
  public void cacheEvent(CacheEvent event, long now) {
    if (stats.containsKey(event.upstream())) {
      cache.apply(event, now);
    }
  }

  @Override
  public Choice choose(RouteRequest request, long now) {
    scan(now);
    if (request.hedge() && !slow(request.excluded(), now)) {
      return choice(List.of(), null, Reason.NO_STRAGGLER);
    }
    int local = collect(request, 0, 1, now);
    if (local > 0) {
      Choice byPrefix = request.prefix() == 0 ? null : chooseByPrefix(request, local, now);
      return byPrefix != null ? byPrefix : chooseLocal(request, now);
    }
    return request.hedge()
        ? choice(List.of(), null, Reason.NO_UPSTREAM)
        : chooseRemote(request, now);
  }

  /**
   * Returns whether one of the upstreams is slow. A call that takes long at an upstream that
   * answers others in time would take as long elsewhere: in the queue model hedging such calls
   * tripled the misses at load 0.9.
   */
  private boolean slow(List<String> names, long now) {
    for (String name : names) {
      UpstreamStats upstream = stats.get(name);
      if (upstream == null
          || upstream.latency(meanLatency, settings, now) > HEDGE_FACTOR * meanLatency) {
        return true;
      }
    }
    return false;
  }

  private Choice chooseLocal(RouteRequest request, long now) {
    int zone = collect(request, 0, 0, now);
    List<Candidate> candidates = new ArrayList<>(4);
    UpstreamStats best = pickOfTwo(zone, 1, null, candidates, now);
    int region = collect(request, 1, 1, now);
    best = pickOfTwo(region, settings.otherZoneCostFactor(), best, candidates, now);
    return choice(candidates, best, best != null && best.tier == 0 ? Reason.ZONE : Reason.REGION);
  }

  private Choice chooseRemote(RouteRequest request, long now) {
    int remote = collect(request, 2, 2, now);
    if (remote == 0) {
      return choice(List.of(), null, Reason.NO_UPSTREAM);
    }
    List<Candidate> candidates = new ArrayList<>(2);
    UpstreamStats best = pickOfTwo(remote, 1, null, candidates, now);
    return link.take(request.bytes(), now)
        ? choice(candidates, best, Reason.OTHER_REGION)
        : choice(candidates, null, Reason.LINK_BUDGET);
  }

  /** Returns the choice by prefix, or null if each upstream of the prefix is overloaded or slow. */
  private @Nullable Choice chooseByPrefix(RouteRequest request, int count, long now) {
    double bound = loadBound(count, now);
    String holder = cache.holder(request.prefix(), now, CACHE_CLAIM_LIFETIME_NANOS);
    UpstreamStats best = null;
    long bestRank = 0;
    for (int i = 0; i < count; i++) {
      UpstreamStats upstream = eligible[i];
      boolean fits =
          upstream.load(now) < bound
              && upstream.latency(meanLatency, settings, now) <= SLOW_FACTOR * meanLatency;
      if (!fits) {
        continue;
      }
      if (upstream.name.equals(holder)) {
        return single(upstream, now, Reason.CACHE);
      }
      // The zone's upstreams come before the region's, whatever their rank.
      long rank = Hashing.rank(request.prefix(), upstream.hash);
      boolean nearer = best != null && upstream.tier < best.tier;
      boolean higher = best != null && upstream.tier == best.tier && rank > bestRank;
      if (best == null || nearer || higher) {
        best = upstream;
        bestRank = rank;
      }
    }
    return best == null ? null : single(best, now, Reason.PREFIX);
  }

  /** Returns the load at which an upstream is full: the mean with one more call, times a factor. */
  private double loadBound(int count, long now) {
    int total = 1;
    for (int i = 0; i < count; i++) {
      total += eligible[i].load(now);
    }
    return Math.max(1, Math.ceil(settings.maxRelativeLoad() * total / count));
  }

  private Choice single(UpstreamStats upstream, long now, Reason reason) {
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

  private @Nullable UpstreamStats pickOfTwo(
      int count,
      double factor,
      @Nullable UpstreamStats other,
      List<Candidate> candidates,
      long now) {
    if (count == 0) {
      return other;
    }
    int first = random.nextInt(count);
    UpstreamStats best = other;
    double bestCost = other == null ? Double.MAX_VALUE : other.cost(meanLatency, settings, now);
    for (int i = 0; i < Math.min(2, count); i++) {
      int index = i == 0 ? first : (first + 1 + random.nextInt(count - 1)) % count;
      UpstreamStats upstream = eligible[index];
      double cost = factor * upstream.cost(meanLatency, settings, now);
      candidates.add(candidate(upstream, cost, now));
      if (best == null || cost < bestCost) {
        best = upstream;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Collects the usable upstreams of some tiers into {@code eligible} and returns their number. The
   * cap of slow start is lifted when nothing else is left.
   */
  private int collect(RouteRequest request, int fromTier, int toTier, long now) {
    int count = collect(request, fromTier, toTier, !panic, now);
    return count > 0 ? count : collect(request, fromTier, toTier, false, now);
  }

  private int collect(RouteRequest request, int fromTier, int toTier, boolean capped, long now) {
    int count = 0;
    for (UpstreamStats upstream : subset) {
      if (upstream.tier >= fromTier
          && upstream.tier <= toTier
          && usable(upstream, panic, now)
          && (!capped || belowRampCap(upstream, now))
          && !(request.hedge() && upstream.queueing(now))
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
   * Keeps calls from gathering on an upstream in slow start: its calls in flight stay below its
   * share of the mean, but at least one is let through. The share is relative to the upstream
   * furthest in its own slow start, so that a pool that starts as a whole is not held back.
   */
  private boolean belowRampCap(UpstreamStats upstream, long now) {
    double ramp = upstream.ramp(settings, now) / maxRamp;
    return ramp >= 1 || upstream.inFlight < Math.max(1, Math.ceil(2 * ramp * meanLoad));
  }

  /**
   * Takes the means over the subset, and whether too few upstreams are good, so that doubtful ones
   * must be used as well.
   */
  private void scan(long now) {
    double latency = 0;
    int known = 0;
    int load = 0;
    int up = 0;
    int good = 0;
    scannedAt = now;
    maxRamp = 0;
    for (UpstreamStats upstream : subset) {
      if (upstream.known()) {
        latency += upstream.rawLatency();
        known++;
      }
      if (upstream.state == MemberState.UP) {
        load += upstream.load(now);
        up++;
        maxRamp = Math.max(maxRamp, upstream.ramp(settings, now));
      }
      good += usable(upstream, false, now) ? 1 : 0;
    }
    meanLatency = known == 0 ? INITIAL_LATENCY_NANOS : latency / known;
    meanLoad = up == 0 ? 0 : (double) load / up;
    panic = good < settings.panicThreshold() * subset.length;
  }
}
