package org.oriolewell.standins;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.http.HttpCall;

/** Writes a generated sequence as lines of JSON. */
final class GenerateStream implements Sequence.Sink {
  private final HttpCall call;
  private final Optional<Integer> dropAfter;
  private Runnable onFailure = () -> {};
  private @Nullable LineStream lines;
  private int sent;
  private boolean dropped;

  /**
   * Creates a stream; nothing is sent before the first token.
   *
   * @param dropAfter number of tokens after which the connection is closed; empty for a whole
   *     answer
   */
  GenerateStream(HttpCall call, Optional<Integer> dropAfter) {
    this.call = call;
    this.dropAfter = dropAfter;
  }

  /** Sets what to do when the caller has left. */
  void onFailure(Runnable handler) {
    onFailure = handler;
  }

  @Override
  public void token(int position, String text) {
    if (dropIfDue()) {
      return;
    }
    lines().line("{\"position\":" + position + ",\"token\":\"" + text + "\"}");
    sent++;
  }

  @Override
  public void done(int count, boolean cancelled) {
    if (dropIfDue()) {
      return;
    }
    String member = cancelled ? "cancelled" : "done";
    lines().line("{\"" + member + "\":true,\"count\":" + count + "}");
    lines().end();
  }

  private boolean dropIfDue() {
    if (!dropped && dropAfter.isPresent() && sent >= dropAfter.get()) {
      dropped = true;
      call.drop();
      onFailure.run();
    }
    return dropped;
  }

  private LineStream lines() {
    LineStream stream = lines;
    if (stream == null) {
      stream = new LineStream(call, onFailure);
      lines = stream;
    }
    return stream;
  }
}
