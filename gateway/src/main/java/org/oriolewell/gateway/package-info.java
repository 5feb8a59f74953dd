/**
 * The gateway: routes callers' HTTP requests by host and path, runs the stages of their routes and
 * forwards them to upstreams. The protocols of a platform are implemented outside this package,
 * behind {@link RequestDialect}, {@link StageDialect} and {@link ControlFeed}.
 */
@NullMarked
package org.oriolewell.gateway;

import org.jspecify.annotations.NullMarked;
