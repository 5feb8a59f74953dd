package org.oriolewell.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.gateway.ControlFeed.FeedException;
import org.oriolewell.runtime.net.EventLoop;

/** Calls the platform's store over kept connections. Thread-safe. */
public final class StoreCaller {
  private static final String PEER = "store";

  private final EventLoop loop;
  private final UpstreamClient client;
  private final String address;

  /**
   * An answer of the store.
   *
   * @param status HTTP status
   * @param body body
   */
  public record Answer(int status, byte[] body) {}

  private StoreCaller(EventLoop loop, UpstreamClient client, String address) {
    this.loop = loop;
    this.client = client;
    this.address = address;
  }

  /** Returns a caller for the store at an address. */
  static StoreCaller create(EventLoop loop, UpstreamClient client, String address) {
    return new StoreCaller(loop, client, address);
  }

  /**
   * Sends a call. The result fails with {@link FeedException} if there is no answer in time; the
   * call may have taken effect then.
   */
  public CompletableFuture<Answer> call(UpstreamRequest request, Duration timeout) {
    CompletableFuture<Answer> result = new CompletableFuture<>();
    loop.execute(() -> new Running(result).start(request, timeout));
    return result;
  }

  private final class Running extends BufferedAnswer {
    private final CompletableFuture<Answer> result;

    private Running(CompletableFuture<Answer> result) {
      this.result = result;
    }

    private void start(UpstreamRequest request, Duration timeout) {
      UpstreamClient.Call call = client.send(PEER, address, request, this);
      EventLoop.Timer timer =
          loop.after(
              timeout,
              () -> {
                if (!result.isDone()) {
                  call.cancel();
                  fail("no answer within " + timeout.toMillis() + " ms");
                }
              });
      result.whenComplete((answer, failure) -> timer.cancel());
    }

    private void fail(String message) {
      result.completeExceptionally(
          new FeedException(FeedException.Reason.UNAVAILABLE, "the store gave " + message));
    }

    @Override
    public void onComplete() {
      result.complete(new Answer(status(), body()));
    }

    @Override
    public void onFailure(boolean sent, Throwable cause) {
      fail("no answer: " + cause);
    }
  }
}
