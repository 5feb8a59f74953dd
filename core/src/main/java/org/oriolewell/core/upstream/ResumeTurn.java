package org.oriolewell.core.upstream;

import java.time.Duration;
import java.util.Collection;
import org.oriolewell.core.routing.Hashing;

/**
 * The share of one gateway in the requests to an upstream after a pause. Pauses of all gateways
 * often end at the same time, and what has waited for that would overload the upstream again.
 *
 * <p>In the second after the end, the gateways together send as many requests as the upstream has
 * slots, evenly spread and in an order by rendezvous hashing, which all gateways compute alike. In
 * the second after that one gateway after the other sends without a bound again.
 *
 * @param position place of this gateway in the order, from 0
 * @param gateways number of gateways
 * @param slots number of requests that the upstream processes at the same time
 */
public record ResumeTurn(int position, int gateways, int slots) {
  /** Time after a pause in which the upstream gets no more requests than it has slots. */
  static final Duration PACED_TIME = Duration.ofSeconds(1);

  /** Time after the paced time within which the last gateway sends without a bound. */
  static final Duration OPENING_TIME = Duration.ofSeconds(1);

  /** Checks that the position is one of the gateways'. */
  public ResumeTurn {
    if (position < 0 || position >= gateways || slots < 1) {
      throw new IllegalArgumentException(
          "position " + position + " of " + gateways + " gateways with " + slots + " slots");
    }
  }

  /** Returns the turn of the only gateway that sends to an upstream. */
  public static ResumeTurn alone(int slots) {
    return new ResumeTurn(0, 1, slots);
  }

  /**
   * Returns the turn of one of several gateways.
   *
   * @param gateway name of the gateway
   * @param others names of the other gateways
   */
  public static ResumeTurn of(
      Incarnation upstream, int slots, String gateway, Collection<String> others) {
    long key = Hashing.of(upstream.id()) ^ upstream.startedMillis();
    long ownRank = Hashing.rank(key, Hashing.of(gateway));
    int before = 0;
    for (String other : others) {
      before += Hashing.rank(key, Hashing.of(other)) > ownRank ? 1 : 0;
    }
    return new ResumeTurn(before, others.size() + 1, slots);
  }

  /** Returns the time after the pause from which this gateway sends without a bound. */
  Duration openAfter() {
    return PACED_TIME.plusNanos(OPENING_TIME.toNanos() / gateways * position);
  }

  /**
   * Returns the time after the pause from which this gateway may send its next request.
   *
   * @param sent number of requests that it has sent since the end of the pause
   */
  Duration nextAfter(long sent) {
    double place = (double) sent * gateways + position;
    double nanos = Math.ceil(PACED_TIME.toNanos() / (double) slots * place);
    return Duration.ofNanos((long) Math.min(nanos, openAfter().toNanos()));
  }
}
