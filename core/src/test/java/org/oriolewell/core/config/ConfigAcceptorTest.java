package org.oriolewell.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.oriolewell.core.config.Documents.NOW;
import static org.oriolewell.core.config.Documents.command;
import static org.oriolewell.core.config.Documents.next;
import static org.oriolewell.core.config.Documents.sample;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.config.ConfigAcceptor.Action;
import org.oriolewell.core.config.ConfigAcceptor.Event;
import org.oriolewell.core.config.ConfigAcceptor.Outcome;
import org.oriolewell.core.config.ConfigAcceptor.Reason;
import org.oriolewell.core.config.ConfigAcceptor.Result;
import org.oriolewell.core.config.ConfigChange.Drain;
import org.oriolewell.core.config.ConfigChange.SetFirm;

/** Guards against results from which an operator can't tell how to settle or repeat a command. */
class ConfigAcceptorTest {
  private static final Instant GIVE_UP_AT = NOW.plusSeconds(5);

  private static Action actionAfterRead(ConfigAcceptor acceptor, ConfigDocument stored) {
    return acceptor.on(new Event.ReadDone(7, ConfigJson.write(stored)), NOW).get(0);
  }

  private static Result resultOf(Action action) {
    assertThat(action).isInstanceOf(Action.Finish.class);
    return ((Action.Finish) action).result();
  }

  // Guards against a rejection that doesn't name the command that created the version instead.
  @Test
  void versionConflictNamesTheWinningCommand() throws Exception {
    ConfigDocument winningDocument = next(sample(), new SetFirm("gwifren", 0.3));
    ConfigAcceptor acceptor = ConfigAcceptor.of(command("mine", 1, new Drain("h")), 0, GIVE_UP_AT);

    Result result = resultOf(actionAfterRead(acceptor, winningDocument));

    assertThat(result.outcome()).isEqualTo(Outcome.REJECTED);
    assertThat(result.winner()).isEqualTo(winningDocument.changes().get(1));
    assertThat(result.detail()).contains("made by elin with command c2");
  }

  // Guards against a repeated command id that has another effect or result than the first time.
  @Test
  void repeatedIdReturnsTheFirstResult() throws Exception {
    ConfigDocument stored = next(sample(), new Drain("h"));
    assertThat(
            resultOf(actionAfterRead(ConfigAcceptor.of(command("c1", 0), 0, GIVE_UP_AT), stored))
                .version())
        .isEqualTo(1);
    ConfigEditor.Command reused =
        new ConfigEditor.Command("c1", "elin", 2, "other", java.util.List.of(new Drain("h2")));
    assertThat(resultOf(actionAfterRead(ConfigAcceptor.of(reused, 0, GIVE_UP_AT), stored)).reason())
        .isEqualTo(Reason.ID_REUSED);
  }

  // Guards against overwriting a document that can't be read or whose version is too low.
  @Test
  void unusableDocumentIsNotOverwritten() throws Exception {
    ConfigAcceptor acceptor = ConfigAcceptor.of(command("c", 1, new Drain("h")), 5, GIVE_UP_AT);
    for (String value : new String[] {"{\"schema\":2,\"version\":9}", "{\"sch", "", "null"}) {
      Event event = new Event.ReadDone(7, value.getBytes(StandardCharsets.UTF_8));
      Result result = resultOf(acceptor.on(event, NOW).get(0));
      assertThat(result.outcome()).isEqualTo(Outcome.UNKNOWN);
      assertThat(result.reason()).isEqualTo(Reason.STORE_UNUSABLE);
    }
    assertThat(resultOf(actionAfterRead(acceptor, sample())).detail())
        .contains("version 5 is in force");
  }

  // Guards against reporting a rejection although the write may have taken effect.
  @Test
  void unavailableStoreLeavesTheOutcomeUnknown() throws Exception {
    ConfigAcceptor acceptor = ConfigAcceptor.of(command("c", 1, new Drain("h")), 0, GIVE_UP_AT);
    assertThat(actionAfterRead(acceptor, sample())).isInstanceOf(Action.Write.class);
    assertThat(acceptor.on(new Event.WriteFailed(), NOW).get(0)).isInstanceOf(Action.Pause.class);
    Result result = resultOf(acceptor.on(new Event.ReadFailed(), GIVE_UP_AT).get(0));
    assertThat(result.outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(result.detail()).contains("same command id");
  }
}
