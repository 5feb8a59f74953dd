package org.oriolewell.core.roster;

/**
 * One running instance of an upstream, as the platform's store lists it.
 *
 * @param id identifier, unique among the upstreams that run at the same time; may be reused later
 * @param startedMillis start time of the instance, Unix time in milliseconds; tells restarts of an
 *     upstream apart
 * @param service name of the service that the upstream belongs to
 * @param address IP address and port of the upstream
 * @param zone availability zone of the upstream
 * @param slots number of requests that the upstream processes at the same time
 * @param draining whether the upstream is about to stop and takes no new work
 */
public record UpstreamInstance(
    String id,
    long startedMillis,
    String service,
    Ipv4SocketAddress address,
    String zone,
    int slots,
    boolean draining) {

  /** Returns whether the other entry describes the same instance, without a restart in between. */
  public boolean sameStart(UpstreamInstance other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && address.equals(other.address)
        && service.equals(other.service);
  }
}
