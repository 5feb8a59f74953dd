package org.oriolewell.runtime.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** One HTTP request with its complete body, to be answered by a complete reply or by a stream. */
public final class HttpCall {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final byte[] body;
  private final Map<String, String> pathParameters;
  private final Runnable onEnd;
  private final AtomicBoolean callbackNotified = new AtomicBoolean();

  HttpCall(
      Request request,
      Response response,
      Callback callback,
      byte[] body,
      Map<String, String> pathParameters,
      Runnable onEnd) {
    this.onEnd = onEnd;
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
    this.pathParameters = pathParameters;
  }

  /** Returns the bytes of the request body. */
  public byte[] body() {
    return body;
  }

  /**
   * Returns the request body, parsed as JSON.
   *
   * @throws IOException if the body isn't valid JSON
   */
  public JsonNode json() throws IOException {
    return JSON.readTree(body);
  }

  /** Returns the value of a request header, or empty if the header is absent. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeaders().get(name));
  }

  /**
   * Returns the value of a path parameter.
   *
   * @param name name of the parameter, as the route gives it in braces
   * @throws IllegalArgumentException if the route has no such parameter
   */
  public String path(String name) {
    String value = pathParameters.get(name);
    if (value == null) {
      throw new IllegalArgumentException("route has no path parameter " + name);
    }
    return value;
  }

  /** Returns the value of a query parameter, or empty if the parameter is absent. */
  public Optional<String> query(String name) {
    Fields fields = Request.extractQueryParameters(request);
    return Optional.ofNullable(fields.getValue(name));
  }

  /** Starts a streamed response; its body is written by {@link #write}. */
  public void startStream(int status, String contentType) {
    startStream(status, contentType, Map.of());
  }

  /** Starts a streamed response with additional headers; its body is written by {@link #write}. */
  public void startStream(int status, String contentType, Map<String, String> headers) {
    response.setStatus(status);
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
    response.getHeaders().put("Content-Type", contentType);
    response.getHeaders().put("Cache-Control", "no-store");
  }

  /**
   * Writes a part of the body of a streamed response, in UTF-8.
   *
   * @return completes when the next part may be written; fails if the caller closed the connection
   */
  public CompletableFuture<Void> write(String part) {
    return writePart(part.getBytes(StandardCharsets.UTF_8), false);
  }

  /** Ends the body of a streamed response; the future completes when it has been written. */
  public CompletableFuture<Void> endStream() {
    return writePart(new byte[0], true);
  }

  private CompletableFuture<Void> writePart(byte[] part, boolean last) {
    CompletableFuture<Void> written = new CompletableFuture<>();
    response.write(
        last,
        ByteBuffer.wrap(part),
        Callback.from(
            () -> {
              written.complete(null);
              if (last) {
                succeed();
              }
            },
            failure -> {
              written.completeExceptionally(failure);
              fail(failure);
            }));
    return written;
  }

  /**
   * Registers a listener that runs if the connection fails, for example if the caller closes it.
   */
  public void onFailure(Runnable listener) {
    request.addFailureListener(failure -> listener.run());
  }

  /** Aborts a streamed response by closing the connection, so that it can't look complete. */
  public void abort(Throwable cause) {
    fail(cause);
  }

  /** Closes the connection without a response. Stand-ins use it to simulate lost answers. */
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
    if (callbackNotified.compareAndSet(false, true)) {
      onEnd.run();
      callback.succeeded();
    }
  }

  private void fail(Throwable cause) {
    if (callbackNotified.compareAndSet(false, true)) {
      onEnd.run();
      callback.failed(cause);
    }
  }
}
