package org.oriolewell.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;

/**
 * Writes a {@link TokenLog} to one caller as server-sent events. There is at most one write at a
 * time, so a slow caller holds back {@code taken} and with it the agent's credit.
 */
final class StreamReader {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_TOKENS_PER_WRITE = 512;

  private final HttpCall call;
  private final String requestId;
  private final TokenLog log;
  private final LongConsumer taken;
  private final CompletableFuture<HttpReply> whole = new CompletableFuture<>();
  private final CompletableFuture<Boolean> closed = new CompletableFuture<>();
  private long position;
  private boolean started;
  private boolean writing;
  private boolean again;

  /**
   * Creates a reader.
   *
   * @param from position of the first token wanted
   * @param taken hears the position up to which the caller has taken tokens
   */
  StreamReader(HttpCall call, String requestId, TokenLog log, long from, LongConsumer taken) {
    this.call = call;
    this.requestId = requestId;
    this.log = log;
    this.position = from;
    this.taken = taken;
  }

  /** Starts writing. The future completes only if the request is refused before any token. */
  CompletableFuture<HttpReply> start() {
    call.onFailure(() -> closed.complete(false));
    taken.accept(position);
    log.reader(this::pump);
    pump();
    return whole;
  }

  /** Completes when the reader ends: true if it wrote the end, false if the caller left. */
  CompletableFuture<Boolean> closed() {
    return closed;
  }

  /** Ends the reader and its connection, since the caller resumed the stream on another one. */
  void replace() {
    closed.complete(false);
    call.abort(new IOException("the stream was resumed on another connection"));
  }

  /** Writes what is there, unless a write is going on; that one then goes on. */
  private void pump() {
    synchronized (this) {
      again = true;
      if (writing) {
        return;
      }
      writing = true;
    }
    run();
  }

  private void run() {
    while (true) {
      synchronized (this) {
        if (!again || closed.isDone()) {
          writing = false;
          return;
        }
        again = false;
      }
      CompletableFuture<Void> write = next();
      if (!write.isDone()) {
        write.whenComplete((done, failure) -> run());
        return;
      }
    }
  }

  /** Writes the next part; the future completes when the part after it may be written. */
  private CompletableFuture<Void> next() {
    TokenLog.Part part = log.read(position, MAX_TOKENS_PER_WRITE);
    Ending ending = part.ending();
    List<String> items = part.tokens();
    if (items.isEmpty() && ending == null) {
      return CompletableFuture.completedFuture(null);
    }
    if (!started && items.isEmpty() && ending instanceof Ending.Refusal refusal) {
      whole.complete(Problems.reply(refusal.failure(), requestId));
      closed.complete(true);
      return CompletableFuture.completedFuture(null);
    }
    if (ending instanceof Ending.Left) {
      closed.complete(false);
      call.abort(new IOException("the request was canceled"));
      return CompletableFuture.completedFuture(null);
    }
    if (!started) {
      started = true;
      call.startStream(200, "text/event-stream", Map.of("Request-Id", requestId));
    }
    synchronized (this) {
      again = true;
    }
    StringBuilder text = new StringBuilder();
    long from = position;
    for (int i = 0; i < items.size(); i++) {
      token(text, from + i, items.get(i));
    }
    if (ending != null) {
      end(text, ending);
    }
    return call.write(text.toString())
        .handle((done, failure) -> written(from + items.size(), ending, failure));
  }

  @SuppressWarnings("NullAway") // A CompletableFuture<Void> holds null.
  private Void written(long to, @Nullable Ending ending, @Nullable Throwable failure) {
    if (failure != null) {
      closed.complete(false);
      return null;
    }
    position = to;
    taken.accept(to);
    if (ending != null) {
      call.endStream().whenComplete((done, problem) -> closed.complete(problem == null));
      synchronized (this) {
        again = false;
      }
    }
    return null;
  }

  private static void token(StringBuilder text, long position, String item) {
    Map<String, Object> data = new LinkedHashMap<>();
    data.put("position", position);
    data.put("text", item);
    event(text, "token", data);
  }

  private void end(StringBuilder text, Ending ending) {
    if (ending instanceof Ending.Refusal refusal) {
      event(text, "error", Problems.document(refusal.failure(), requestId));
    } else if (ending instanceof Ending.Answer answer) {
      Map<String, Object> data = new LinkedHashMap<>();
      data.put("request_id", requestId);
      data.put("outcome", "answered");
      data.put("count", answer.tokens());
      if (!answer.output().isNull()) {
        data.put("output", answer.output());
      }
      data.put("stages", Stages.json(answer.stages()));
      event(text, "end", data);
    }
  }

  private static void event(StringBuilder text, String name, Object data) {
    try {
      text.append("event: ").append(name).append("\ndata: ");
      text.append(JSON.writeValueAsString(data)).append("\n\n");
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an event cannot be written as JSON", e);
    }
  }
}
