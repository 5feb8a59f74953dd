package org.oriolewell.core.route;

import java.time.Duration;

/**
 * Limits on a caller's HTTP requests and connections.
 *
 * @param maxHeaderBytes largest total size of the request line and the headers, in bytes
 * @param maxBodyBytes largest request body, in bytes
 * @param headerTimeout longest time in which a caller may send the request headers
 * @param idleTimeout time after which a connection without data is closed
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
