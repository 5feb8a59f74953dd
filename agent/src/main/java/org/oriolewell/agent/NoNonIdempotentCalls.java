package org.oriolewell.agent;

import java.util.Map;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.Outcome;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/** Refuses non-idempotent calls, for upstreams that have none. */
final class NoNonIdempotentCalls implements NonIdempotentCalls {
  @Override
  public ActiveCall create(Dialer dialer, UpstreamCall call) {
    return new ActiveCall() {
      @Override
      public void start() {
        dialer.refuse(
            call.message(),
            Refusal.notRun(
                RefusalKind.INVALID, "this agent's upstream has no non-idempotent calls"));
      }

      @Override
      public void credit(int frames) {}

      @Override
      public void granted() {}

      @Override
      public void denied() {}

      @Override
      public void cancel() {}
    };
  }

  @Override
  public void settle(Dialer dialer, Message.Settle question) {
    dialer.send(
        new Message.Settled(
            question.id(),
            Outcome.UNKNOWN,
            "this agent's upstream has no non-idempotent calls",
            new byte[0]));
  }

  @Override
  public Map<String, Long> shards() {
    return Map.of();
  }
}
