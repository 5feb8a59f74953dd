package org.oriolewell.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewell.core.route.Route;
import org.oriolewell.core.route.StageSpec;
import org.oriolewell.core.stage.PieceOutcome;
import org.oriolewell.core.stage.StageProgress;
import org.oriolewell.core.stage.StageWork;
import org.oriolewell.core.stage.StageZone;

/** Runs the stages of one request in one region. Used on the event loop only. */
final class StageRun {
  /** Longest time between two checks whether a stage that is held back should start. */
  private static final double MAX_CHECK_MILLIS = 200;

  /** Receives the end of the stages; called once at most. */
  interface Listener {
    /** Called when all stages are done. */
    void onDone(List<String> inputs);

    /** Called when a stage can't be done. */
    void onFailed(String reason);
  }

  private final Services services;
  private final Route route;
  private final String requestId;
  private final String pieceKey;
  private final String region;
  private final String zone;
  private final int rank;
  private final long targetAt;
  private final long giveUpAt;
  private final StageProgress progress;
  private final Listener listener;
  private final Map<Integer, Long> tickets = new HashMap<>();
  private final Map<Integer, Long> announced = new HashMap<>();
  private boolean ended;

  StageRun(
      Services services,
      Route route,
      String requestId,
      String pieceKey,
      String region,
      String zone,
      int rank,
      long targetAt,
      long giveUpAt,
      StageProgress progress,
      Listener listener) {
    this.services = services;
    this.route = route;
    this.requestId = requestId;
    this.pieceKey = pieceKey;
    this.region = region;
    this.zone = zone;
    this.rank = rank;
    this.targetAt = targetAt;
    this.giveUpAt = giveUpAt;
    this.progress = progress;
    this.listener = listener;
  }

  private double expectedMillis(int stage, double offsetMillis) {
    return services
        .desk()
        .expectedMillis(route.stages().get(stage).service(), region, rank, offsetMillis);
  }

  /** Begins with the first stages and announces the others. */
  void begin() {
    for (StageSpec stage : route.stages()) {
      if (!stage.after().isEmpty() && !progress.isDone(stage.index())) {
        announced.put(stage.index(), services.desk().announce(stage, region, rank, progress));
      }
    }
    advance();
  }

  /** Starts the stages that can run now. */
  private void advance() {
    if (ended) {
      return;
    }
    if (progress.complete()) {
      ended = true;
      listener.onDone(progress.requestInputs());
      return;
    }
    for (StageSpec stage : progress.start(this::expectedMillis, services.loop().now())) {
      submit(stage);
    }
    double next = progress.nextStartMillis(this::expectedMillis, services.loop().now());
    if (next >= 0) {
      Duration delay = Duration.ofMillis((long) Math.min(next, MAX_CHECK_MILLIS) + 1);
      services.loop().after(delay, this::advance);
    }
  }

  private void submit(StageSpec stage) {
    long now = services.loop().now();
    double after =
        progress.remainingAfter(stage.index(), this::expectedMillis)
            + services.firstByteTimes().expectedMillis(route.name());
    long afterNanos = Duration.ofMillis((long) Math.min(after, 60_000)).toNanos();
    long callNanos =
        Duration.ofMillis((long) Math.min(expectedMillis(stage.index(), 0), 300)).toNanos();
    StageWork work =
        new StageWork(
            0,
            "",
            requestId,
            stage.index(),
            stage.service(),
            zoneOf(stage),
            rank,
            targetAt - afterNanos - callNanos,
            giveUpAt,
            stage.resultBytes(),
            progress.missingPieces(stage.index()),
            stage.after().isEmpty() ? pieceKey : "",
            progress.inputs(stage));
    services
        .log()
        .event(GatewayEvent.STAGE_SENT)
        .with("request", requestId)
        .with("stage", stage.index())
        .with("service", stage.service())
        .with("region", region)
        .with("zone", work.zone())
        .with("pieces", work.pieces().size())
        .with("expected_ms", (long) Math.min(expectedMillis(stage.index(), 0), 1e6))
        .with("slack_ms", Services.millis(now, work.latestStart()))
        .write();
    long sentAt = now;
    tickets.put(
        stage.index(),
        services
            .desk()
            .submit(
                announced.getOrDefault(stage.index(), services.desk().newTicket()),
                work,
                region,
                outcome -> pieceEnded(stage, outcome, sentAt)));
    announced.remove(stage.index());
  }

  private String zoneOf(StageSpec stage) {
    int pieces = progress.missingPieces(stage.index()).size();
    Map<String, Long> readByZone = new HashMap<>();
    for (int before : stage.after()) {
      StageSpec maker = route.stages().get(before);
      for (String handle : progress.handles(before)) {
        String makerZone = services.desk().makerZone(maker.service(), handle);
        readByZone.merge(makerZone, maker.resultBytes() * pieces, Long::sum);
      }
    }
    readByZone.remove("");
    String reader = progress.readByRequest(stage.index()) ? zone : "";
    return StageZone.choose(readByZone, reader, stage.resultBytes() * pieces);
  }

  private void pieceEnded(StageSpec stage, PieceOutcome outcome, long sentAt) {
    String handle = outcome.handle();
    if (ended) {
      if (handle != null) {
        services.desk().release(stage.service(), region, List.of(handle));
      }
      return;
    }
    if (handle == null) {
      ended = true;
      logEnd(stage, sentAt, outcome.status().toString());
      listener.onFailed("stage " + stage.index() + " " + outcome.status());
      return;
    }
    progress.done(stage.index(), outcome.piece(), handle);
    if (progress.isDone(stage.index())) {
      tickets.remove(stage.index());
      logEnd(stage, sentAt, "DONE");
      releaseConsumed();
      advance();
    }
  }

  private void logEnd(StageSpec stage, long sentAt, String outcome) {
    services
        .log()
        .event(GatewayEvent.STAGE_ENDED)
        .with("request", requestId)
        .with("stage", stage.index())
        .with("outcome", outcome)
        .with("ms", Services.millis(sentAt, services.loop().now()))
        .write();
  }

  private void releaseConsumed() {
    release(progress.takeConsumed());
  }

  private void release(List<String> handles) {
    if (!handles.isEmpty()) {
      Map<String, List<String>> byService = new HashMap<>();
      for (String handle : handles) {
        byService.computeIfAbsent(progress.serviceOf(handle), s -> new ArrayList<>()).add(handle);
      }
      byService.forEach((service, list) -> services.desk().release(service, region, list));
    }
  }

  /** Withdraws what is in progress and frees all results. */
  void end() {
    ended = true;
    tickets.values().forEach(services.desk()::cancel);
    tickets.clear();
    announced.forEach(
        (stage, ticket) ->
            services.desk().withdraw(ticket, route.stages().get(stage).service(), region));
    announced.clear();
    release(progress.takeAll());
  }
}
