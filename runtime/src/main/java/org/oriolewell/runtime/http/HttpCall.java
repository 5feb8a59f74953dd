package org.oriolewell.runtime.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** One HTTP request with its whole body, and the means to answer it whole or as a stream. */
public final class HttpCall {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final byte[] body;
  private final Map<String, String> pathParameters;
  private final AtomicBoolean completed = new AtomicBoolean();

  HttpCall(
      Request request,
      Response response,
      Callback callback,
      byte[] body,
      Map<String, String> pathParameters) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
    this.pathParameters = pathParameters;
  }

  /** Returns the body. */
  public byte[] body() {
    return body;
  }

  /**
   * Returns the body as JSON.
   *
   * @throws IOException if the body isn't valid JSON
   */
  public JsonNode json() throws IOException {
    return JSON.readTree(body);
  }

  /** Returns the value of a request header. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeaders().get(name));
  }

  /** Returns a part of the path that the route names in braces. */
  public String path(String name) {
    String value = pathParameters.get(name);
    if (value == null) {
      throw new IllegalArgumentException("route has no path parameter " + name);
    }
    return value;
  }

  /** Returns a query parameter. */
  public Optional<String> query(String name) {
    Fields fields = Request.extractQueryParameters(request);
    return Optional.ofNullable(fields.getValue(name));
  }

  /** Starts a streamed answer; the body follows through {@link #write}. */
  public void startStream(int status, String contentType) {
    startStream(status, contentType, Map.of());
  }

  /** Starts a streamed answer with further headers. */
  public void startStream(int status, String contentType, Map<String, String> headers) {
    response.setStatus(status);
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
    response.getHeaders().put("Content-Type", contentType);
    response.getHeaders().put("Cache-Control", "no-store");
  }

  /**
   * Writes a part of a streamed answer. The next part may be written after the future completes; a
   * caller that left completes it exceptionally.
   */
  public CompletableFuture<Void> write(String part) {
    return writePart(part.getBytes(StandardCharsets.UTF_8), false);
  }

  /** Ends a streamed answer. */
  public CompletableFuture<Void> endStream() {
    return writePart(new byte[0], true);
  }

  private CompletableFuture<Void> writePart(byte[] part, boolean last) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    response.write(
        last,
        ByteBuffer.wrap(part),
        Callback.from(
            () -> {
              done.complete(null);
              if (last) {
                succeed();
              }
            },
            failure -> {
              done.completeExceptionally(failure);
              fail(failure);
            }));
    return done;
  }

  /** Calls the listener if the connection fails, for example since the caller left. */
  public void onFailure(Runnable listener) {
    request.addFailureListener(failure -> listener.run());
  }

  /** Ends a streamed answer by closing the connection, so that it can't be taken for whole. */
  public void abort(Throwable cause) {
    fail(cause);
  }

  /** Closes the connection without an answer. Stand-ins use it to lose answers on purpose. */
  public void drop() {
    request.getConnectionMetaData().getConnection().getEndPoint().close();
    fail(new EofException("the connection was closed without an answer"));
  }

  void reply(HttpReply reply) {
    response.setStatus(reply.status());
    response.getHeaders().put("Content-Type", reply.contentType());
    reply.headers().forEach((name, value) -> response.getHeaders().put(name, value));
    response.write(true, ByteBuffer.wrap(reply.body()), Callback.from(this::succeed, this::fail));
  }

  private void succeed() {
    if (completed.compareAndSet(false, true)) {
      callback.succeeded();
    }
  }

  private void fail(Throwable cause) {
    if (completed.compareAndSet(false, true)) {
      callback.failed(cause);
    }
  }

  static CompletableFuture<byte[]> readBody(Request request, int limit) {
    CompletableFuture<byte[]> result = new CompletableFuture<>();
    if (request.getLength() > limit) {
      result.completeExceptionally(new BodyTooLargeException(limit));
      return result;
    }
    new BodyReader(request, limit, result).run();
    return result;
  }

  /** Reads a body in parts, up to a limit. */
  private static final class BodyReader implements Runnable {
    private final Request request;
    private final int limit;
    private final CompletableFuture<byte[]> result;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    BodyReader(Request request, int limit, CompletableFuture<byte[]> result) {
      this.request = request;
      this.limit = limit;
      this.result = result;
    }

    @Override
    public void run() {
      while (true) {
        Content.Chunk chunk = request.read();
        if (chunk == null) {
          request.demand(this);
          return;
        }
        if (Content.Chunk.isFailure(chunk)) {
          result.completeExceptionally(chunk.getFailure());
          return;
        }
        ByteBuffer buffer = chunk.getByteBuffer();
        byte[] part = new byte[buffer.remaining()];
        buffer.get(part);
        bytes.writeBytes(part);
        boolean last = chunk.isLast();
        chunk.release();
        if (bytes.size() > limit) {
          result.completeExceptionally(new BodyTooLargeException(limit));
          return;
        }
        if (last) {
          result.complete(bytes.toByteArray());
          return;
        }
      }
    }
  }
}
