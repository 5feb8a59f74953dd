package org.oriolewell.gateway;

import org.eclipse.jetty.util.Callback;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Callback of an endpoint that runs its tasks on the event loop.
 *
 * @param loop event loop
 * @param onSuccess task that runs when the operation has succeeded
 * @param onFailure task that runs when the operation has failed
 */
record LoopCallback(EventLoop loop, Runnable onSuccess, Runnable onFailure) implements Callback {
  @Override
  public void succeeded() {
    loop.dispatch(onSuccess);
  }

  @Override
  public void failed(Throwable cause) {
    loop.dispatch(onFailure);
  }

  @Override
  public InvocationType getInvocationType() {
    return InvocationType.NON_BLOCKING;
  }
}
