package org.oriolewell.core.ratelimit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * The request rates that upstreams name as their limits, as far as one gateway knows them. Each
 * answer of an upstream states its limit or, by not naming one, that it has none; the newest
 * statement counts, in whatever order statements arrive.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class NamedLimits {
  /**
   * A statement of an upstream.
   *
   * @param perSecond requests a second that the upstream takes from all gateways together; infinite
   *     if it names no limit
   * @param statedAt time of the answer with the statement
   */
  private record Statement(double perSecond, long statedAt) {}

  private final Map<String, Statement> statementsByUpstream = new HashMap<>();

  private NamedLimits() {}

  /** Returns a table without limits. */
  public static NamedLimits create() {
    return new NamedLimits();
  }

  /**
   * Records what an answer states.
   *
   * @param upstream identifies one start of one upstream
   * @param perSecond the named limit in requests a second; empty if the answer names none
   * @return whether the known limit has changed
   */
  public boolean stated(String upstream, OptionalDouble perSecond, long statedAt) {
    Statement known = statementsByUpstream.get(upstream);
    if (known == null && perSecond.isEmpty()) {
      return false;
    }
    if (known != null && known.statedAt() - statedAt > 0) {
      return false;
    }
    double limit = perSecond.orElse(Double.POSITIVE_INFINITY);
    statementsByUpstream.put(upstream, new Statement(limit, statedAt));
    return known == null || known.perSecond() != limit;
  }

  /** Returns the limit of an upstream in requests a second; empty if it has named none. */
  public OptionalDouble limit(String upstream) {
    Statement known = statementsByUpstream.get(upstream);
    return known == null || Double.isInfinite(known.perSecond())
        ? OptionalDouble.empty()
        : OptionalDouble.of(known.perSecond());
  }

  /** Returns the time of the newest statement of an upstream; empty if it never named a limit. */
  public OptionalLong statedAt(String upstream) {
    Statement known = statementsByUpstream.get(upstream);
    return known == null ? OptionalLong.empty() : OptionalLong.of(known.statedAt());
  }

  /** Returns whether no upstream has named a limit. */
  public boolean isEmpty() {
    return statementsByUpstream.isEmpty();
  }

  /** Forgets the upstreams that are no longer listed. */
  public void retain(Predicate<String> listed) {
    statementsByUpstream.keySet().removeIf(upstream -> !listed.test(upstream));
  }
}
