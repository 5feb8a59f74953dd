package org.oriolewell.core.route;

import java.time.Duration;

/**
 * Bounds on what a caller may send.
 *
 * @param headerBytes largest request line and headers, in bytes
 * @param bodyBytes largest body, in bytes
 * @param headerTime longest time to send the headers
 * @param idleTime time after which an unused connection is closed
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, Duration headerTime, Duration idleTime) {}
