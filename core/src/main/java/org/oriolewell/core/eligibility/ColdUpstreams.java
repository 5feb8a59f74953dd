package org.oriolewell.core.eligibility;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.roster.UpstreamEntry;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.ColdStart;
import org.oriolewell.core.routing.Hashing;

/**
 * The upstreams that are cold: they take few requests a second from all gateways together and crash
 * above that rate, so a request needs a permit of the gateway that issues them for the upstream.
 *
 * <p>Load pattern: a gateway sends an engine about one request in several seconds, and its
 * neighbors don't know of it. Equal shares by membership (the plain baseline) leave most of the
 * rate unused and exceed it when a gateway knows too few others; one designated sender moves all
 * requests to one gateway. Permits follow the demand.
 *
 * <p>After the cold time the rate of permits doubles several times, and then each gateway stops to
 * ask for them at a time of its own, so that full load doesn't return everywhere at once.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class ColdUpstreams implements EligibilityRule {
  /**
   * Share of the cold rate that one issuer grants. Its bucket holds 0.3 s of permits and one more,
   * so two issuers at once grant at most 2 + 1.43 times the rate in a second; the bound is 5 + 1.5
   * times the rate.
   */
  static final double ISSUED_SHARE = 0.55;

  /** Time after which the rate of permits doubles once the upstream is no longer cold. */
  private static final Duration DOUBLING_TIME = Duration.ofMillis(250);

  /** Time for which all gateways ask for permits once the upstream is no longer cold. */
  private static final Duration RAMP_TIME = Duration.ofSeconds(1);

  /** Longest further time for which a gateway asks for permits, different for each gateway. */
  private static final int MAX_SPREAD_MILLIS = 1000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Function<String, @Nullable ColdStart> coldStarts;
  private final long nameHash;
  private final Map<String, State> statesById = new HashMap<>();

  /** Whether an upstream may be cold, or returns to full load; kept up to date by each tick. */
  private boolean anyActive;

  /** The last entry of an upstream, and until when it is cold. */
  private static final class State {
    private UpstreamEntry entry;

    /** Time of a start whose cold time the configuration states. */
    private long startedAt;

    private boolean started;
    private long statedUntil;
    private boolean stated;
    private boolean over;

    private State(UpstreamEntry entry) {
      this.entry = entry;
    }

    private boolean cold(ColdStart coldStart, long now) {
      return coldNanos(coldStart, now) > 0;
    }

    /** Returns the time until the upstream is no longer cold; negative after that time. */
    private long coldNanos(ColdStart coldStart, long now) {
      long fromStart = started ? startedAt + coldStart.duration().toNanos() - now : Long.MIN_VALUE;
      return Math.max(fromStart, stated ? statedUntil - now : Long.MIN_VALUE);
    }
  }

  private ColdUpstreams(String gatewayName, Function<String, @Nullable ColdStart> coldStarts) {
    this.nameHash = Hashing.of(gatewayName);
    this.coldStarts = coldStarts;
  }

  /**
   * Returns a table without upstreams.
   *
   * @param gatewayName name of the gateway, which determines when it returns to full load
   * @param coldStarts returns the cold start of a service; null while no configuration is known
   */
  public static ColdUpstreams create(
      String gatewayName, Function<String, @Nullable ColdStart> coldStarts) {
    return new ColdUpstreams(gatewayName, coldStarts);
  }

  /**
   * Records an entry of an upstream.
   *
   * @param duringTraffic whether an upstream that wasn't listed before has just started; false for
   *     those that were listed when this gateway started
   * @return whether the entry differs from the last one
   */
  public boolean listed(UpstreamEntry entry, boolean duringTraffic, long now) {
    State state = statesById.get(entry.instance().id());
    boolean newStart = state == null || !state.entry.instance().sameStart(entry.instance());
    if (state == null || newStart) {
      state = new State(entry);
      statesById.put(entry.instance().id(), state);
      state.started = duringTraffic;
      state.startedAt = now;
    } else if (entry.equals(state.entry)) {
      return false;
    }
    state.entry = entry;
    Duration coldTime = entry.coldTime();
    if (coldTime != null && coldTime.isNegative()) {
      state.started = true;
      state.startedAt = now;
    } else if (coldTime != null && !coldTime.isZero()) {
      long until = now + coldTime.toNanos();
      state.statedUntil = state.stated ? Math.max(state.statedUntil, until) : until;
      state.stated = true;
    }
    state.over = !state.started && !state.stated;
    anyActive |= !state.over;
    return true;
  }

  /** Forgets the upstreams that are no longer listed. */
  public void retain(Predicate<String> listed) {
    statesById.keySet().removeIf(id -> !listed.test(id));
  }

  /**
   * Ends the cold time and the return to full load of the upstreams for which they are over.
   *
   * @return those upstreams
   */
  public List<UpstreamInstance> tick(long now) {
    List<UpstreamInstance> warm = new ArrayList<>();
    anyActive = false;
    for (State state : statesById.values()) {
      ColdStart coldStart = coldStarts.apply(state.entry.instance().service());
      if (!state.over && coldStart != null) {
        state.over = !coldStart.possible() || rampOver(state, coldStart, now);
        if (state.over && coldStart.possible()) {
          warm.add(state.entry.instance());
        }
      }
      anyActive |= !state.over;
    }
    return warm;
  }

  private boolean rampOver(State state, ColdStart coldStart, long now) {
    int spreadMillis =
        (int)
            Math.floorMod(
                Hashing.rank(nameHash, Hashing.of(state.entry.instance().id())), MAX_SPREAD_MILLIS);
    long rampNanos = RAMP_TIME.toNanos() + spreadMillis * NANOS_PER_MILLI;
    return -state.coldNanos(coldStart, now) >= rampNanos;
  }

  /** Returns the number of upstreams that are cold. */
  public int coldCount(long now) {
    int count = 0;
    for (State state : statesById.values()) {
      count += cold(state, now) ? 1 : 0;
    }
    return count;
  }

  private boolean cold(State state, long now) {
    ColdStart coldStart = coldStarts.apply(state.entry.instance().service());
    return !state.over && coldStart != null && coldStart.possible() && state.cold(coldStart, now);
  }

  @Override
  public boolean active(CallScope scope) {
    return anyActive;
  }

  @Override
  public Eligibility check(UpstreamInstance upstream, CallScope scope, long now) {
    State state = statesById.get(upstream.id());
    if (state == null || state.over || !state.entry.instance().sameStart(upstream)) {
      return Eligibility.ALLOWED;
    }
    ColdStart coldStart = coldStarts.apply(upstream.service());
    if (coldStart == null || !coldStart.possible() || rampOver(state, coldStart, now)) {
      return Eligibility.ALLOWED;
    }
    double rate = coldStart.perSecond() * ISSUED_SHARE;
    long warmNanos = Math.max(0, -state.coldNanos(coldStart, now));
    return new Eligibility.PermitNeeded(
        rate * Math.pow(2, warmNanos / (double) DOUBLING_TIME.toNanos()));
  }
}
