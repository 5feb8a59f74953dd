/**
 * The gateway: takes callers' HTTP requests by host and path, runs the stages of their routes and
 * passes them on to upstreams. What the platform says on the wire is translated by implementations
 * of the ports {@link RequestDialect}, {@link StageDialect} and {@link ControlFeed}.
 */
@NullMarked
package org.oriolewell.gateway;

import org.jspecify.annotations.NullMarked;
