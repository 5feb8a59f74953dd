package org.oriolewell.core.overload;

/**
 * Division of the descriptors of a process between connections of callers, connections to upstreams
 * and everything else: the store, other gateways and the readiness check.
 *
 * @param maxCallers most connections of callers
 * @param maxUpstreams most connections to upstreams
 */
public record ConnectionBound(int maxCallers, int maxUpstreams) {
  /** Descriptors for everything but callers and upstreams, which grow with the other gateways. */
  private static final int MIN_RESERVED = 48;

  /** Part of the free descriptors that is kept for everything but callers and upstreams. */
  private static final int RESERVED_DIVISOR = 8;

  /** Least number of connections of either kind, however few descriptors there are. */
  private static final int MIN_CONNECTIONS = 16;

  /** Percentage of the bound from which idle connections of callers are closed. */
  private static final int CROWDED_PERCENT = 90;

  /**
   * Returns the bound of a process. A request in progress has a connection of either kind.
   *
   * @param descriptorLimit most descriptors that the process may open
   * @param openDescriptors descriptors that are open before the first caller connects
   * @param configuredCallers most connections of callers that the settings allow; 0 for no limit
   */
  public static ConnectionBound of(
      long descriptorLimit, long openDescriptors, int configuredCallers) {
    long free = Math.max(0, descriptorLimit - openDescriptors);
    long usable = free - Math.max(MIN_RESERVED, free / RESERVED_DIVISOR);
    long half = Math.min(Integer.MAX_VALUE, Math.max(MIN_CONNECTIONS, usable / 2));
    long callers = configuredCallers > 0 ? Math.min(configuredCallers, half) : half;
    return new ConnectionBound((int) callers, (int) half);
  }

  /** Returns whether another caller's connection may be accepted beside those that are open. */
  public boolean mayAccept(int openCallers) {
    return openCallers < maxCallers;
  }

  /** Returns how many idle connections of callers should be closed, the oldest first. */
  public int excess(int openCallers) {
    return Math.max(0, openCallers - (int) (maxCallers / 100.0 * CROWDED_PERCENT));
  }
}
