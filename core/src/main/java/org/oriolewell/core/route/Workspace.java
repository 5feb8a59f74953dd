package org.oriolewell.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A workspace whose requests are identified by API keys.
 *
 * @param name name of the workspace
 * @param priority rank of the workspace's requests, 0 is the most urgent; overrides the route's
 *     priority; null to use the route's priority
 * @param allowedRegions regions in which the workspace's requests may be served
 */
public record Workspace(String name, @Nullable Integer priority, AllowedRegions allowedRegions) {
  /** Creates a workspace whose requests may be served in all regions. */
  public Workspace(String name, @Nullable Integer priority) {
    this(name, priority, AllowedRegions.ALL);
  }
}
