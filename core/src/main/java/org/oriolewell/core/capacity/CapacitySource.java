package org.oriolewell.core.capacity;

import java.util.OptionalInt;
import java.util.function.ToIntFunction;

/** What is known about the speed and the load of upstreams. */
public interface CapacitySource {
  /** Returns the level of an upstream's speed, see {@link SpeedLevel}; empty if unknown. */
  OptionalInt level(String upstreamId, long now);

  /** Returns the estimated load of an upstream, in requests of usual size. */
  double load(String upstreamId, long now);

  /** Returns a source that takes all upstreams as equal and knows only this gateway's requests. */
  static CapacitySource ownRequests(ToIntFunction<String> ownInFlight) {
    return new CapacitySource() {
      @Override
      public OptionalInt level(String upstreamId, long now) {
        return OptionalInt.empty();
      }

      @Override
      public double load(String upstreamId, long now) {
        return ownInFlight.applyAsInt(upstreamId);
      }
    };
  }
}
