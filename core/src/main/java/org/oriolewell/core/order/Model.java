package org.oriolewell.core.order;

/**
 * A model on an engine.
 *
 * @param model model name
 * @param version version of its weights
 * @param adapter adapter; empty for none
 */
public record Model(String model, String version, String adapter) implements Comparable<Model> {
  @Override
  public int compareTo(Model other) {
    int byModel = model.compareTo(other.model);
    int byVersion = byModel != 0 ? byModel : version.compareTo(other.version);
    return byVersion != 0 ? byVersion : adapter.compareTo(other.adapter);
  }
}
