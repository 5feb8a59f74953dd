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
 * Writes the tokens of a {@link TokenLog} to one caller as server-sent events. At most one write is
 * in progress, so a slow caller delays {@code onTokensTaken} and with it the credit that is
 * returned to the agent.
 */
final class StreamWriter {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_TOKENS_PER_WRITE = 512;

  private final HttpCall call;
  private final String requestId;
  private final TokenLog tokenLog;
  private final LongConsumer onTokensTaken;
  private final CompletableFuture<HttpReply> refusalReply = new CompletableFuture<>();
  private final CompletableFuture<Boolean> closedFuture = new CompletableFuture<>();

  /** Position of the next token to write. */
  private long nextPosition;

  /** Whether the response's status and headers were sent. */
  private boolean streamStarted;

  private boolean writing;

  /** Whether tokens may have become available since the last read of the log. */
  private boolean moreAvailable;

  /**
   * Creates a writer, which {@link #start} starts.
   *
   * @param from position of the first token to write
   * @param onTokensTaken receives the position after the last token that was written to the caller
   */
  StreamWriter(
      HttpCall call, String requestId, TokenLog tokenLog, long from, LongConsumer onTokensTaken) {
    this.call = call;
    this.requestId = requestId;
    this.tokenLog = tokenLog;
    this.nextPosition = from;
    this.onTokensTaken = onTokensTaken;
  }

  /**
   * Starts writing. The future completes only if the request is refused before any token is
   * written, with the reply that refuses it.
   */
  CompletableFuture<HttpReply> start() {
    call.onFailure(() -> closedFuture.complete(false));
    onTokensTaken.accept(nextPosition);
    tokenLog.onChange(this::requestWrite);
    requestWrite();
    return refusalReply;
  }

  /**
   * Completes when writing ends: with true if the end of the stream was written, with false if the
   * caller disconnected.
   */
  CompletableFuture<Boolean> closed() {
    return closedFuture;
  }

  /**
   * Stops writing and aborts the connection, because the caller resumed the stream on another one.
   */
  void stopReplaced() {
    closedFuture.complete(false);
    call.abort(new IOException("the stream was resumed on another connection"));
  }

  /** Writes the tokens that are available; if a write is in progress, they are written after it. */
  private void requestWrite() {
    synchronized (this) {
      moreAvailable = true;
      if (writing) {
        return;
      }
      writing = true;
    }
    writeAvailable();
  }

  private void writeAvailable() {
    while (true) {
      synchronized (this) {
        if (!moreAvailable || closedFuture.isDone()) {
          writing = false;
          return;
        }
        moreAvailable = false;
      }
      CompletableFuture<Void> write = writeNext();
      if (!write.isDone()) {
        write.whenComplete((done, failure) -> writeAvailable());
        return;
      }
    }
  }

  /** Writes the next tokens; the future completes when the tokens after them may be written. */
  private CompletableFuture<Void> writeNext() {
    TokenLog.Chunk chunk = tokenLog.read(nextPosition, MAX_TOKENS_PER_WRITE);
    Ending ending = chunk.ending();
    List<String> tokens = chunk.tokens();
    if (tokens.isEmpty() && ending == null) {
      return CompletableFuture.completedFuture(null);
    }
    if (!streamStarted && tokens.isEmpty() && ending instanceof Ending.Refusal refusal) {
      refusalReply.complete(Problems.reply(refusal.failure(), requestId));
      closedFuture.complete(true);
      return CompletableFuture.completedFuture(null);
    }
    if (ending instanceof Ending.CallerLeft) {
      closedFuture.complete(false);
      call.abort(new IOException("the request was canceled"));
      return CompletableFuture.completedFuture(null);
    }
    if (!streamStarted) {
      streamStarted = true;
      call.startStream(200, "text/event-stream", Map.of("Request-Id", requestId));
    }
    synchronized (this) {
      moreAvailable = true;
    }
    StringBuilder eventText = new StringBuilder();
    long firstPosition = nextPosition;
    for (int i = 0; i < tokens.size(); i++) {
      appendToken(eventText, firstPosition + i, tokens.get(i));
    }
    if (ending != null) {
      appendEnd(eventText, ending);
    }
    return call.write(eventText.toString())
        .handle((done, failure) -> afterWrite(firstPosition + tokens.size(), ending, failure));
  }

  @SuppressWarnings("NullAway") // A CompletableFuture<Void> holds null.
  private Void afterWrite(long newPosition, @Nullable Ending ending, @Nullable Throwable failure) {
    if (failure != null) {
      closedFuture.complete(false);
      return null;
    }
    nextPosition = newPosition;
    onTokensTaken.accept(newPosition);
    if (ending != null) {
      call.endStream()
          .whenComplete((ignored, endFailure) -> closedFuture.complete(endFailure == null));
      synchronized (this) {
        moreAvailable = false;
      }
    }
    return null;
  }

  private static void appendToken(StringBuilder eventText, long position, String tokenText) {
    Map<String, Object> data = new LinkedHashMap<>();
    data.put("position", position);
    data.put("text", tokenText);
    appendEvent(eventText, "token", data);
  }

  private void appendEnd(StringBuilder eventText, Ending ending) {
    if (ending instanceof Ending.Refusal refusal) {
      appendEvent(eventText, "error", Problems.document(refusal.failure(), requestId));
    } else if (ending instanceof Ending.Answer answer) {
      Map<String, Object> data = new LinkedHashMap<>();
      data.put("request_id", requestId);
      data.put("outcome", "answered");
      data.put("count", answer.tokenCount());
      if (!answer.output().isNull()) {
        data.put("output", answer.output());
      }
      data.put("stages", StageReportJson.json(answer.stages()));
      appendEvent(eventText, "end", data);
    }
  }

  private static void appendEvent(StringBuilder eventText, String eventName, Object data) {
    try {
      eventText.append("event: ").append(eventName).append("\ndata: ");
      eventText.append(JSON.writeValueAsString(data)).append("\n\n");
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an event cannot be written as JSON", e);
    }
  }
}
