package org.oriolewell.core.config;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.UpstreamSpec.ModelSpec;

/**
 * Role and models that an engine, or each engine of a pool, should have. All entries of one model
 * have the same version.
 */
record Wanted(@Nullable String role, List<ModelSpec> models) {
  Wanted withRole(String wantedRole) {
    return new Wanted(wantedRole, models);
  }

  Wanted withModel(String model, String version, @Nullable String adapter) {
    List<ModelSpec> wantedModels = new ArrayList<>();
    ModelSpec wantedModel = new ModelSpec(model, version, adapter);
    for (ModelSpec current : models) {
      wantedModels.add(
          current.model().equals(model)
              ? new ModelSpec(model, version, current.adapter())
              : current);
    }
    if (!wantedModels.contains(wantedModel)) {
      wantedModels.add(wantedModel);
    }
    return new Wanted(role, wantedModels);
  }

  Wanted withoutModel(String model) {
    return new Wanted(role, models.stream().filter(spec -> !spec.model().equals(model)).toList());
  }
}
