package org.oriolewell.core.config;

/**
 * Settings of a workspace.
 *
 * @param firm firm that the workspace belongs to
 * @param weight weight among the workspaces of its firm, over 0
 * @param priority priority of requests that name none, 0 (lowest) to 9
 */
public record WorkspaceSpec(String firm, double weight, int priority) {}
