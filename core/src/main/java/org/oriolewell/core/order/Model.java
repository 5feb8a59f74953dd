package org.oriolewell.core.order;

/**
 * A model that an engine serves.
 *
 * @param model name of the model
 * @param version version of the model's weights
 * @param adapter name of the adapter applied to the model; empty for none
 */
public record Model(String model, String version, String adapter) implements Comparable<Model> {
  @Override
  public int compareTo(Model other) {
    int modelComparison = model.compareTo(other.model);
    int versionComparison =
        modelComparison != 0 ? modelComparison : version.compareTo(other.version);
    return versionComparison != 0 ? versionComparison : adapter.compareTo(other.adapter);
  }
}
