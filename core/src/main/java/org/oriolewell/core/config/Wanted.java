package org.oriolewell.core.config;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.UpstreamSpec.ModelSpec;

/** Wanted state of one engine or of a pool's engines. All entries of a model have one version. */
record Wanted(@Nullable String role, List<ModelSpec> models) {
  Wanted withRole(String wantedRole) {
    return new Wanted(wantedRole, models);
  }

  Wanted withModel(String model, String version, @Nullable String adapter) {
    List<ModelSpec> result = new ArrayList<>();
    ModelSpec wanted = new ModelSpec(model, version, adapter);
    for (ModelSpec old : models) {
      result.add(old.model().equals(model) ? new ModelSpec(model, version, old.adapter()) : old);
    }
    if (!result.contains(wanted)) {
      result.add(wanted);
    }
    return new Wanted(role, result);
  }

  Wanted withoutModel(String model) {
    return new Wanted(role, models.stream().filter(m -> !m.model().equals(model)).toList());
  }
}
