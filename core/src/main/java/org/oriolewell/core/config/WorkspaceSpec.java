package org.oriolewell.core.config;

/**
 * Configured settings of a workspace.
 *
 * @param firm firm that the workspace belongs to
 * @param weight weight for sharing among the workspaces of its firm, greater than 0
 * @param priority priority of requests that specify none, 0 (lowest) to 9
 */
public record WorkspaceSpec(String firm, double weight, int priority) {}
