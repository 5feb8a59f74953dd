package org.oriolewell.core.admission;

import java.util.Map;

/**
 * Shares of firms, and weights of workspaces within their firm. A missing name has weight {@link
 * #DEFAULT_WEIGHT}.
 *
 * @param firms share by firm name, over 0
 * @param workspaces weight by workspace name, over 0
 */
public record Shares(Map<String, Double> firms, Map<String, Double> workspaces) {
  /** Weight of a firm or workspace that the configuration does not name. */
  public static final double DEFAULT_WEIGHT = 0.1;

  /** Copies the maps, so that later changes to the arguments have no effect. */
  public Shares {
    firms = Map.copyOf(firms);
    workspaces = Map.copyOf(workspaces);
  }

  /** Returns shares in which all firms and workspaces are equal. */
  public static Shares equal() {
    return new Shares(Map.of(), Map.of());
  }

  double firm(String name) {
    return firms.getOrDefault(name, DEFAULT_WEIGHT);
  }

  double workspace(String name) {
    return workspaces.getOrDefault(name, DEFAULT_WEIGHT);
  }
}
