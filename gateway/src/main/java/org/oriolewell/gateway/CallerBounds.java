package org.oriolewell.gateway;

import org.oriolewell.core.overload.BodyRate;
import org.oriolewell.core.overload.ConnectionBound;
import org.oriolewell.core.overload.MemoryShares;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.settings.Settings;

/**
 * Bounds on what callers can take up of a gateway.
 *
 * @param memory division of the heap
 * @param connections bound on the connections of callers
 * @param bodyRate least rate at which bodies must arrive
 */
record CallerBounds(MemoryShares memory, ConnectionBound connections, BodyRate bodyRate) {
  /** Memory for requests on the operators' port, which callers can't take up. */
  static final long OPERATOR_BYTES = 1 << 20;

  /** Returns the bounds that follow from the settings, the heap and the descriptors. */
  static CallerBounds of(Settings settings) {
    return new CallerBounds(
        MemoryShares.of(
            Runtime.getRuntime().maxMemory(),
            settings.value(GatewaySettings.MAX_INPUT_BYTES),
            settings.value(GatewaySettings.MAX_BUFFERED_BYTES)),
        ConnectionBound.of(
            ProcessDescriptors.limit(),
            ProcessDescriptors.open(),
            settings.value(GatewaySettings.MAX_CONNECTIONS)),
        new BodyRate(
            settings.value(GatewaySettings.MIN_BODY_RATE),
            settings.value(GatewaySettings.BODY_GRACE)));
  }

  /** Logs the bounds. */
  void log(EventLog log) {
    log.event(GatewayEvent.CALLER_BOUNDS)
        .with("input_bytes", memory.inputBytes())
        .with("response_bytes", memory.responseBytes())
        .with("caller_connections", connections.maxCallers())
        .with("upstream_connections", connections.maxUpstreams())
        .write();
  }
}
