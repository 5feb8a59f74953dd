package org.oriolewell.runtime.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of hosts. The list lags behind the hosts' state, so its hosts are only
 * candidates for a connection.
 */
public interface HostList {
  /** Whether a host accepts new work. */
  enum State {
    /** The host accepts new work. */
    LIVE,
    /** The host will soon be removed and should receive no new work. */
    LEAVING
  }

  /**
   * One host in the list, with the process of ours that runs on it.
   *
   * @param host name of the host
   * @param address IP address of the process
   * @param port TCP port of the process
   * @param kind kind of the process, {@code entry} or {@code agent}
   * @param pool name of the pool that the agent's upstream belongs to; empty for entries
   * @param zone availability zone of the host
   * @param region region of the host
   * @param firm firm that owns the host
   * @param state whether the host accepts new work
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

  /** Returns all hosts in the list; the future fails if the list's service doesn't answer. */
  CompletableFuture<List<Host>> hosts();
}
