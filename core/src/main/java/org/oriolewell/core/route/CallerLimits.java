package org.oriolewell.core.route;

import java.time.Duration;

/**
 * Limits on a caller's HTTP requests and connections.
 *
 * @param headerBytes largest total size of the request line and the headers, in bytes
 * @param bodyBytes largest request body, in bytes
 * @param headerTime longest time in which a caller may send the request headers
 * @param idleTime time after which a connection without data is closed
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, Duration headerTime, Duration idleTime) {}
