package org.oriolewell.core.upstream;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What one answer of an upstream states about the upstream itself, decoded and within bounds.
 *
 * @param limitPerSecond requests a second that it takes from all gateways together; empty if it
 *     names no limit
 * @param leaving whether it is about to stop and takes no new work
 * @param pause time from the answer in which this gateway must send it nothing; empty if it asks
 *     for no pause
 * @param load its load; empty if the answer states none that can be read
 * @param problems descriptions of the values that could not be read or were outside their bounds
 */
public record UpstreamStatement(
    OptionalDouble limitPerSecond,
    boolean leaving,
    Optional<Duration> pause,
    Optional<LoadReport> load,
    List<String> problems) {
  /** Statement of an answer that states nothing. */
  public static final UpstreamStatement NONE = limit(OptionalDouble.empty());

  /** Copies the list of problems. */
  public UpstreamStatement {
    problems = List.copyOf(problems);
  }

  /** Returns the statement of an answer that at most names a limit. */
  public static UpstreamStatement limit(OptionalDouble limitPerSecond) {
    return new UpstreamStatement(
        limitPerSecond, false, Optional.empty(), Optional.empty(), List.of());
  }

  /** Returns whether the answer states anything but a limit. */
  public boolean isPresent() {
    return leaving || pause.isPresent() || load.isPresent() || !problems.isEmpty();
  }
}
