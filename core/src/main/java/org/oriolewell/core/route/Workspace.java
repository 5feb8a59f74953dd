package org.oriolewell.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A workspace that holds API keys.
 *
 * @param name name of the workspace
 * @param priority rank of its requests, 0 first; goes before the route's priority; null for none
 */
public record Workspace(String name, @Nullable Integer priority) {}
