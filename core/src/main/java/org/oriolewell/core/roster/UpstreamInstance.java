package org.oriolewell.core.roster;

/**
 * One start of an upstream, as the platform's list describes it.
 *
 * @param id identifier, unique among the upstreams that run at the same time
 * @param startedMillis time of its start, Unix time in milliseconds; a new start under an old id
 *     has another value
 * @param service service that it belongs to
 * @param address IP address and port
 * @param zone availability zone
 * @param slots requests that it processes at the same time
 * @param draining whether it is leaving and takes no new work
 */
public record UpstreamInstance(
    String id,
    long startedMillis,
    String service,
    String address,
    String zone,
    int slots,
    boolean draining) {

  /** Returns whether the other description is of the same start of the same upstream. */
  public boolean sameStart(UpstreamInstance other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && address.equals(other.address)
        && service.equals(other.service);
  }
}
