package org.oriolewell.runtime.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving hosts. It lags, so it only proposes candidates. */
public interface HostList {
  /** Whether a host takes new work. */
  enum State {
    /** The host takes work. */
    LIVE,
    /** The host is about to leave and should receive no new work. */
    LEAVING
  }

  /**
   * One host of the list.
   *
   * @param host name of the host
   * @param address IP address of the process of ours on that host
   * @param port TCP port of that process
   * @param kind {@code entry} or {@code agent}
   * @param pool name of the upstream's pool; empty for entries
   * @param zone availability zone
   * @param region region
   * @param firm firm that owns the host
   * @param state whether the host takes new work
   */
  record Host(
      String host,
      String address,
      int port,
      String kind,
      String pool,
      String zone,
      String region,
      String firm,
      State state) {}

  /** Returns the hosts, or fails if the list doesn't answer. */
  CompletableFuture<List<Host>> hosts();
}
