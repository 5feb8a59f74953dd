package org.oriolewell.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.oriolewell.core.config.Documents.next;
import static org.oriolewell.core.config.Documents.sample;
import static org.oriolewell.core.config.Documents.stage;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.config.ConfigChange.CreateFirm;
import org.oriolewell.core.config.ConfigChange.CreatePipeline;
import org.oriolewell.core.config.ConfigChange.CreatePool;
import org.oriolewell.core.config.ConfigChange.CreateWorkspace;
import org.oriolewell.core.config.ConfigChange.Drain;
import org.oriolewell.core.config.ConfigChange.Kind;
import org.oriolewell.core.config.ConfigChange.Remove;
import org.oriolewell.core.config.ConfigChange.Restore;
import org.oriolewell.core.config.ConfigChange.RollBack;
import org.oriolewell.core.config.ConfigChange.SetFirm;
import org.oriolewell.core.config.ConfigChange.SetModel;
import org.oriolewell.core.config.ConfigChange.SetPipeline;
import org.oriolewell.core.config.ConfigChange.SetPool;
import org.oriolewell.core.config.ConfigChange.SetRole;
import org.oriolewell.core.config.ConfigChange.Target;

/**
 * Guards against documents that can't be used to serve requests, and against changes that affect
 * more than they name.
 */
class ConfigEditorTest {
  private static void assertRejected(String problem, ConfigChange... changes) throws Exception {
    ConfigDocument base = sample();
    assertThatThrownBy(() -> next(base, changes))
        .isInstanceOf(RejectedChangeException.class)
        .hasMessageContaining(problem);
  }

  private static CreatePipeline pipeline(long deadlineMillis, StageSpec... stages) {
    return new CreatePipeline("p", new PipelineSpec(deadlineMillis, List.of(stages)));
  }

  // Guards against references to objects that don't exist.
  @Test
  void unknownReferencesAreRejected() throws Exception {
    assertRejected("the pool nowhere is unknown", pipeline(1000, stage("a", "nowhere")));
    assertRejected("unknown firm x", new CreateWorkspace("w", new WorkspaceSpec("x", 1, 0)));
    assertRejected("unknown firm gwifren", new Remove(Kind.FIRM, "gwifren"));
    assertRejected("the pool encoders is unknown", new Remove(Kind.POOL, "encoders"));
    assertRejected("workspace x doesn't exist", new Remove(Kind.WORKSPACE, "x"));
  }

  // Guards against pipelines whose requests could never complete.
  @Test
  void pipelineStagesAreValidated() throws Exception {
    StageSpec[] sevenStages =
        IntStream.range(0, 7).mapToObj(i -> stage("s" + i, "encoders")).toArray(StageSpec[]::new);
    assertRejected("has 0 stages", pipeline(1000));
    assertRejected("has 7 stages", pipeline(1000, sevenStages));
    assertRejected("stages need 100 ms", pipeline(99, stage("a", "encoders")));
    assertRejected(
        "two stages named a", pipeline(900, stage("a", "encoders"), stage("a", "encoders")));
    assertRejected("name a model", pipeline(900, stage("a", "engines")));
    assertRejected(
        "has no shards", pipeline(900, new StageSpec("a", "encoders", "run", false, 1, null, 0)));
  }

  // Guards against values outside their range and a document too large for the store.
  @Test
  void valuesAndDocumentSizeAreValidated() throws Exception {
    assertRejected("sum to 1.1", new CreateFirm("t", new FirmSpec(0.6)));
    assertRejected("has the share 0.0", new SetFirm("gwifren", 0));
    assertRejected(
        "has the priority 10", new CreateWorkspace("w", new WorkspaceSpec("gwifren", 1, 10)));
    assertRejected("is not valid", new CreateFirm("a/b", new FirmSpec(0.1)));
    ConfigChange[] tooManyWorkspaces =
        IntStream.range(0, 14_000)
            .mapToObj(
                i ->
                    new CreateWorkspace(
                        "workspace-with-a-long-name-" + i, new WorkspaceSpec("gwifren", 1, 5)))
            .toArray(ConfigChange[]::new);
    assertRejected("over the limit of 1000000", tooManyWorkspaces);
  }

  // Guards against running a call twice because its idempotency key moved to another shard.
  @Test
  void shardsAreFixedOnceSet() throws Exception {
    assertRejected("3 shards, which are fixed", new SetPool("permits", null, 4, null, null));
    assertRejected("can't be removed", new Remove(Kind.POOL, "permits"));
    assertRejected(
        "which are fixed",
        new Remove(Kind.POOL, "permits"),
        new CreatePool("permits", new PoolSpec(PoolSpec.Kind.SERVICE, 2, List.of(), false)));
  }

  // Guards against a partial change that resets settings it does not name.
  @Test
  void setKeepsSettingsItDoesNotName() throws Exception {
    ConfigDocument changed =
        next(
            sample(),
            new SetPipeline("survey", 9000L, null),
            new SetModel(new Target(true, "engines"), "m", "1", null),
            new SetModel(new Target(true, "engines"), "m", "2", "forms"),
            new SetRole(new Target(false, "h1"), "generate"),
            new Drain("h1"));

    assertThat(changed.pipelines().get("survey"))
        .isEqualTo(new PipelineSpec(9000, List.of(stage("encode", "encoders"))));
    assertThat(changed.wanted("h1", "engines"))
        .isEqualTo(
            new UpstreamSpec(
                true,
                "generate",
                List.of(
                    new UpstreamSpec.ModelSpec("m", "2", null),
                    new UpstreamSpec.ModelSpec("m", "2", "forms"))));
  }

  // Guards against a document that grows with each host that was ever drained.
  @Test
  void restoredHostIsRemovedFromTheDocument() throws Exception {
    ConfigDocument drainedVersion = next(sample(), new Drain("h1"));
    assertThat(next(drainedVersion, new Restore("h1")).upstreams()).isEmpty();
  }

  // Guards against a rollback that changes earlier versions or doesn't restore an object.
  @Test
  void rollBackCreatesNewVersionWithTheOldObjects() throws Exception {
    ConfigDocument firstVersion = sample();
    ConfigDocument secondVersion = next(firstVersion, new SetFirm("gwifren", 0.4), new Drain("h1"));
    ConfigDocument thirdVersion = next(secondVersion, new Remove(Kind.WORKSPACE, "north"));

    ConfigDocument rolledBack = next(thirdVersion, new RollBack(1));

    assertThat(rolledBack.version()).isEqualTo(4);
    assertThat(ConfigObjects.difference(firstVersion, rolledBack)).isEmpty();
    assertThat(ConfigHistory.at(rolledBack, 2)).contains(secondVersion);
    assertRejected("can't be restored", new RollBack(7));
  }

  // Guards against a change log that outgrows the document size limit or loses command ids.
  @Test
  void changeLogKeepsIdsAndDropsOldDetails() throws Exception {
    ConfigDocument document = sample();
    for (int i = 0; i < 70; i++) {
      document = next(document, new SetFirm("gwifren", 0.1 + i / 1000.0));
    }
    assertThat(document.changes()).hasSize(64);
    assertThat(document.changes().get(0).version()).isEqualTo(8);
    assertThat(ConfigHistory.at(document, 6)).isEmpty();
    assertThat(ConfigHistory.at(document, 7)).isPresent();
    String details = "x".repeat(200_000);
    ChangeRecord largeChange = new ChangeRecord(9, "id", "o", 0, "c", details, "{}");
    assertThat(ChangeLog.append(List.of(largeChange), largeChange))
        .extracting(change -> change.before().length())
        .containsExactly(0, 200_000);
  }
}
