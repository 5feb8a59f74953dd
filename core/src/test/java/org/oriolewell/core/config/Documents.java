package org.oriolewell.core.config;

import java.time.Instant;
import java.util.List;
import org.oriolewell.core.config.ConfigChange.CreateFirm;
import org.oriolewell.core.config.ConfigChange.CreatePipeline;
import org.oriolewell.core.config.ConfigChange.CreatePool;
import org.oriolewell.core.config.ConfigChange.CreateWorkspace;

/** Configuration documents and commands that several tests use. */
final class Documents {
  static final Instant NOW = Instant.parse("2026-05-04T08:00:00Z");

  private Documents() {}

  static StageSpec stage(String name, String pool) {
    return new StageSpec(name, pool, "run", true, 100, null, 0);
  }

  static ConfigEditor.Command command(String id, long expectedVersion, ConfigChange... changes) {
    return new ConfigEditor.Command(id, "elin", expectedVersion, id, List.of(changes));
  }

  static ConfigDocument next(ConfigDocument base, ConfigChange... changes)
      throws RejectedChangeException {
    String id = "c" + (base.version() + 1);
    return ConfigEditor.next(base, command(id, base.version(), changes), NOW);
  }

  /** Returns a document at version 1: a firm, a workspace, a pool of each kind, a pipeline. */
  static ConfigDocument sample() throws RejectedChangeException {
    return next(
        ConfigDocument.empty(),
        new CreateFirm("gwifren", new FirmSpec(0.5)),
        new CreateWorkspace("north", new WorkspaceSpec("gwifren", 2, 5)),
        new CreatePool("encoders", new PoolSpec(PoolSpec.Kind.STAGE, 0, List.of(), false)),
        new CreatePool("engines", new PoolSpec(PoolSpec.Kind.ENGINE, 0, List.of(), true)),
        new CreatePool("permits", new PoolSpec(PoolSpec.Kind.SERVICE, 3, List.of(429), false)),
        new CreatePipeline(
            "survey", new PipelineSpec(11_000, List.of(stage("encode", "encoders")))));
  }
}
