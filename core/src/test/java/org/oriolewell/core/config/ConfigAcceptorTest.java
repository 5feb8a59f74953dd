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

/** Guards against answers that leave an operator without the way to settle or repeat a command. */
class ConfigAcceptorTest {
  private static final Instant LATER = NOW.plusSeconds(5);

  private static Action read(ConfigAcceptor acceptor, ConfigDocument stored) {
    return acceptor.on(new Event.ReadDone(7, ConfigJson.write(stored)), NOW).get(0);
  }

  private static Result result(Action action) {
    assertThat(action).isInstanceOf(Action.Finish.class);
    return ((Action.Finish) action).result();
  }

  // Guards against a loser who isn't told which command won.
  @Test
  void loserIsToldByWhichCommand() throws Exception {
    ConfigDocument won = next(sample(), new SetFirm("gwifren", 0.3));
    ConfigAcceptor acceptor = ConfigAcceptor.of(command("mine", 1, new Drain("h")), 0, LATER);

    Result result = result(read(acceptor, won));

    assertThat(result.outcome()).isEqualTo(Outcome.REJECTED);
    assertThat(result.winner()).isEqualTo(won.changes().get(1));
    assertThat(result.detail()).contains("made by elin with command c2");
  }

  // Guards against a repeated id with another effect or answer.
  @Test
  void repeatedIdHasTheFirstAnswer() throws Exception {
    ConfigDocument stored = next(sample(), new Drain("h"));
    assertThat(result(read(ConfigAcceptor.of(command("c1", 0), 0, LATER), stored)).version())
        .isEqualTo(1);
    ConfigEditor.Command reused =
        new ConfigEditor.Command("c1", "elin", 2, "other", java.util.List.of(new Drain("h2")));
    assertThat(result(read(ConfigAcceptor.of(reused, 0, LATER), stored)).reason())
        .isEqualTo(Reason.ID_REUSED);
  }

  // Guards against overwriting a document that this program can't read or that lost versions.
  @Test
  void unusableDocumentIsNotWritten() throws Exception {
    ConfigAcceptor acceptor = ConfigAcceptor.of(command("c", 1, new Drain("h")), 5, LATER);
    for (String value : new String[] {"{\"schema\":2,\"version\":9}", "{\"sch", "", "null"}) {
      Event event = new Event.ReadDone(7, value.getBytes(StandardCharsets.UTF_8));
      Result result = result(acceptor.on(event, NOW).get(0));
      assertThat(result.outcome()).isEqualTo(Outcome.UNKNOWN);
      assertThat(result.reason()).isEqualTo(Reason.STORE_UNUSABLE);
    }
    assertThat(result(read(acceptor, sample())).detail()).contains("version 5 is in force");
  }

  // Guards against a claim of rejection while the write may have taken effect.
  @Test
  void storeThatStaysAwayLeavesTheOutcomeUnknown() throws Exception {
    ConfigAcceptor acceptor = ConfigAcceptor.of(command("c", 1, new Drain("h")), 0, LATER);
    assertThat(read(acceptor, sample())).isInstanceOf(Action.Write.class);
    assertThat(acceptor.on(new Event.WriteFailed(), NOW).get(0)).isInstanceOf(Action.Pause.class);
    Result result = result(acceptor.on(new Event.ReadFailed(), LATER).get(0));
    assertThat(result.outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(result.detail()).contains("same command id");
  }
}
