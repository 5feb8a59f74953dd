package org.oriolewell.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A workspace whose requests are identified by API keys.
 *
 * @param name name of the workspace
 * @param priority rank of the workspace's requests, 0 is the most urgent; overrides the route's
 *     priority; null to use the route's priority
 */
public record Workspace(String name, @Nullable Integer priority) {}
