package org.oriolewell.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.eclipse.jetty.http.HttpStatus;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.StageService;
import org.oriolewell.core.stage.PieceOutcome;
import org.oriolewell.core.stage.StageCall;
import org.oriolewell.core.stage.StageLoad;
import org.oriolewell.core.stage.StageQueue;
import org.oriolewell.core.stage.StageWork;
import org.oriolewell.gateway.StageDialect.MalformedAnswerException;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Dispatches the stages of one service in one region: makes the calls that a {@link StageQueue}
 * decides on, and frees results. Used on the event loop only.
 */
final class StageDispatcher {
  /** Time in which handles to free are gathered into one call. */
  private static final Duration RELEASE_DELAY = Duration.ofMillis(5);

  /** Longest time of a call that frees results. */
  private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(1000);

  /** A call is given up after this multiple of the time after which it is repeated elsewhere. */
  private static final int GIVE_UP_FACTOR = 4;

  private final EventLoop loop;
  private final UpstreamClient client;
  private final StageDialect dialect;
  private final EventLog log;
  private final String service;
  private final StageQueue queue;
  private final BiConsumer<StageWork, List<PieceOutcome>> report;
  private final Map<String, UpstreamInstance> byAddress = new HashMap<>();
  private final Map<String, List<String>> toRelease = new LinkedHashMap<>();
  private boolean releaseScheduled;

  StageDispatcher(
      EventLoop loop,
      UpstreamClient client,
      StageDialect dialect,
      EventLog log,
      String service,
      StageService capacity,
      BiConsumer<StageWork, List<PieceOutcome>> report) {
    this.loop = loop;
    this.client = client;
    this.dialect = dialect;
    this.log = log;
    this.service = service;
    this.queue = StageQueue.create(service, capacity);
    this.report = report;
  }

  /** Replaces the list of upstreams. */
  void upstreams(Collection<UpstreamInstance> instances) {
    queue.upstreams(instances, loop.now());
    instances.forEach(instance -> byAddress.put(instance.address(), instance));
    pump();
  }

  /** Takes work. */
  void submit(StageWork work) {
    queue.add(work, loop.now());
    pump();
  }

  /** Records work whose inputs are still being made. */
  void announce(String origin, long ticket, int rank, long resultBytes, int pieces) {
    queue.announce(origin, ticket, rank, resultBytes, pieces, loop.now());
  }

  /** Withdraws work. */
  void cancel(String origin, long ticket) {
    queue.cancel(origin, ticket);
  }

  /** Withdraws all work of a process that is gone. */
  void cancelAll(String origin) {
    queue.cancelAll(origin);
  }

  /** Returns the load. */
  StageLoad load() {
    return queue.load(loop.now());
  }

  /** Returns whether no work waits or runs. */
  boolean idle() {
    return queue.waitingPieces() == 0 && queue.runningCalls() == 0;
  }

  /** Checks for overdue calls and passed deadlines. */
  void tick() {
    apply(queue.tick(loop.now()));
  }

  private void pump() {
    long now = loop.now();
    for (StageCall call : queue.nextCalls(now)) {
      send(call, now);
    }
  }

  private void apply(StageQueue.Effects effects) {
    effects.outcomes().forEach(report);
    release(effects.unused());
    pump();
  }

  private void send(StageCall call, long now) {
    log.event(GatewayEvent.STAGE_CALL)
        .with("service", service)
        .with("call", call.id())
        .with("upstream", call.upstream().id())
        .with("pieces", call.items().size())
        .with("kept_bytes", queue.keptBytes(call.upstream().id()))
        .with("requests", call.items().stream().map(i -> i.work().requestId()).distinct().toList())
        .with("waiting", queue.waitingPieces())
        .write();
    new RunningCall(call, now).start();
  }

  private final class RunningCall extends BufferedAnswer {
    private final StageCall call;
    private final long startedAt;
    private boolean ended;

    private RunningCall(StageCall call, long startedAt) {
      this.call = call;
      this.startedAt = startedAt;
    }

    private void start() {
      UpstreamClient.Call running =
          client.send(
              call.upstream().id() + "/" + call.upstream().startedMillis(),
              call.upstream().address(),
              dialect.runRequest(call, startedAt),
              this);
      Duration limit = Duration.ofNanos(StageQueue.overdueNanos(call) * GIVE_UP_FACTOR);
      loop.after(
          limit,
          () -> {
            if (!ended) {
              running.cancel();
              end("no answer within " + limit.toMillis() + " ms", false);
            }
          });
    }

    @Override
    public void onComplete() {
      if (ended) {
        return;
      }
      if (status() != HttpStatus.OK_200) {
        end("status " + status(), status() == 503 || status() == 429);
        return;
      }
      try {
        List<PieceOutcome> outcomes = dialect.decodeOutcomes(call, body());
        ended = true;
        long done = outcomes.stream().filter(o -> o.status() == PieceOutcome.Status.DONE).count();
        log.event(GatewayEvent.STAGE_CALL_ENDED)
            .with("service", service)
            .with("call", call.id())
            .with("ms", Duration.ofNanos(loop.now() - startedAt).toMillis())
            .with("expected_ms", call.expected().toMillis())
            .with("done", done)
            .with("pieces", call.items().size())
            .write();
        apply(queue.completed(call.id(), outcomes, loop.now()));
      } catch (MalformedAnswerException e) {
        end(String.valueOf(e.getMessage()), false);
      }
    }

    @Override
    public void onFailure(boolean sent, Throwable cause) {
      if (!ended) {
        end(cause.toString(), false);
      }
    }

    private void end(String reason, boolean refused) {
      ended = true;
      log.event(GatewayEvent.STAGE_CALL_ENDED)
          .with("service", service)
          .with("call", call.id())
          .with("upstream", call.upstream().id())
          .with("ms", Duration.ofNanos(loop.now() - startedAt).toMillis())
          .with("reason", reason)
          .write();
      apply(queue.failed(call.id(), refused, loop.now()));
    }
  }

  /** Frees results soon. */
  void release(List<String> handles) {
    for (String handle : handles) {
      toRelease
          .computeIfAbsent(dialect.producerAddress(handle), a -> new ArrayList<>())
          .add(handle);
    }
    if (!toRelease.isEmpty() && !releaseScheduled) {
      releaseScheduled = true;
      loop.after(RELEASE_DELAY, this::releaseNow);
    }
  }

  private void releaseNow() {
    releaseScheduled = false;
    Map<String, List<String>> batches = new LinkedHashMap<>(toRelease);
    toRelease.clear();
    batches.forEach(
        (address, handles) -> {
          UpstreamInstance maker = byAddress.get(address);
          if (maker != null) {
            sendRelease(maker, handles);
          }
        });
  }

  private void sendRelease(UpstreamInstance maker, List<String> handles) {
    boolean[] ended = new boolean[1];
    UpstreamClient.Call call =
        client.send(
            maker.id() + "/" + maker.startedMillis(),
            maker.address(),
            dialect.releaseRequest(maker, handles),
            new BufferedAnswer() {
              @Override
              public void onComplete() {
                ended[0] = true;
                if (status() == HttpStatus.OK_200) {
                  queue.freed(handles, loop.now());
                  pump();
                } else {
                  releaseFailed(maker, new IOException("status " + status()));
                }
              }

              @Override
              public void onFailure(boolean sent, Throwable cause) {
                ended[0] = true;
                releaseFailed(maker, cause);
              }
            });
    loop.after(
        RELEASE_TIMEOUT,
        () -> {
          if (!ended[0]) {
            call.cancel();
            releaseFailed(maker, new IOException("no answer"));
          }
        });
  }

  private void releaseFailed(UpstreamInstance maker, Throwable cause) {
    // The results lapse at their maker by themselves; only their space is held a little longer.
    log.event(GatewayEvent.UPSTREAM_FAILED)
        .with("service", service)
        .with("upstream", maker.id())
        .with("call", "release")
        .cause(cause)
        .write();
  }
}
