package org.oriolewell.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.oriolewell.gateway.ControlFeed.FeedException;
import org.oriolewell.gateway.ControlFeed.FeedException.Reason;
import org.oriolewell.runtime.net.EventLoop;

/** HTTP client for the platform's store, with pooled connections. Thread-safe. */
public final class StoreCaller {
  /**
   * Largest answer of the store: a page holds 1 MB of values, which Base64 makes a third longer.
   */
  private static final long MAX_STORE_ANSWER_BYTES = 4 << 20;

  private final EventLoop loop;
  private final UpstreamClient client;

  /**
   * An HTTP answer of the store.
   *
   * @param status HTTP status code
   * @param headers headers of the answer
   * @param body complete body
   */
  public record Answer(int status, HttpFields headers, byte[] body) {}

  private StoreCaller(EventLoop loop, UpstreamClient client) {
    this.loop = loop;
    this.client = client;
  }

  /** Returns a client for the store that an HTTP client is connected to. */
  static StoreCaller create(EventLoop loop, UpstreamClient client) {
    return new StoreCaller(loop, client);
  }

  /**
   * Sends a request to the store. The result fails with {@link FeedException} if no answer arrives
   * within the time-out; the store may have executed the request nevertheless.
   */
  public CompletableFuture<Answer> call(UpstreamRequest request, Duration timeout) {
    CompletableFuture<Answer> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            new PendingCall(result).start(request, timeout);
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    return result;
  }

  /** A request to the store that waits for its answer. */
  private final class PendingCall extends BufferedAnswer {
    private final CompletableFuture<Answer> result;

    private PendingCall(CompletableFuture<Answer> result) {
      super(MAX_STORE_ANSWER_BYTES, "MAX_STORE_ANSWER_BYTES");
      this.result = result;
    }

    private void start(UpstreamRequest request, Duration timeout) {
      UpstreamClient.Call call = client.sendToStore(request, this);
      EventLoop.Timer timer =
          loop.after(
              timeout,
              () -> {
                if (!result.isDone()) {
                  call.cancel();
                  fail(Reason.UNAVAILABLE, "no answer within " + timeout.toMillis() + " ms");
                }
              });
      result.whenComplete((answer, failure) -> timer.cancel());
    }

    private void fail(Reason reason, String message) {
      result.completeExceptionally(new FeedException(reason, "the store gave " + message));
    }

    @Override
    public void onComplete() {
      result.complete(new Answer(status(), headers(), body()));
    }

    @Override
    public void onFailure(boolean mayHaveBeenSent, Throwable cause) {
      Reason reason =
          cause instanceof AnswerTooLargeException ? Reason.UNDECODABLE : Reason.UNAVAILABLE;
      fail(reason, "no answer: " + cause);
    }
  }
}
