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

/** Runs the stages that precede one request, in one region. Used on the event loop only. */
final class StageRun {
  /** Longest time between two checks whether a stage whose start is delayed should start. */
  private static final double MAX_RECHECK_MILLIS = 200;

  /** Receives the outcome of all stages; at most one method is called, once. */
  interface Listener {
    /** Called when all stages are done, with the handles of the results for the request. */
    void onDone(List<String> inputs);

    /** Called when a piece of a stage has failed. */
    void onFailed(String reason);

    /** Called when results of earlier stages are lost, so that the stages have to run again. */
    void onResultsLost();
  }

  private final GatewayComponents components;
  private final RequestGuard guard;
  private final Route route;
  private final String requestId;
  private final String pieceKey;
  private final String region;
  private final String engineZone;
  private final int rank;
  private final long firstByteDueAt;
  private final long deadline;
  private final StageProgress progress;
  private final Listener listener;
  private final Map<Integer, Long> ticketsByStage = new HashMap<>();
  private final Map<Integer, Long> announcedTickets = new HashMap<>();
  private boolean runEnded;

  StageRun(
      GatewayComponents components,
      RequestGuard guard,
      Route route,
      String requestId,
      String pieceKey,
      String region,
      String engineZone,
      int rank,
      long firstByteDueAt,
      long deadline,
      StageProgress progress,
      Listener listener) {
    this.components = components;
    this.guard = guard;
    this.route = route;
    this.requestId = requestId;
    this.pieceKey = pieceKey;
    this.region = region;
    this.engineZone = engineZone;
    this.rank = rank;
    this.firstByteDueAt = firstByteDueAt;
    this.deadline = deadline;
    this.progress = progress;
    this.listener = listener;
  }

  private double expectedMillis(int stage, double offsetMillis) {
    return components
        .stageCoordinator()
        .expectedMillis(route.stages().get(stage).service(), region, rank, offsetMillis);
  }

  /** Starts the stages without inputs and announces the others to their dispatchers. */
  void start() {
    for (StageSpec stage : route.stages()) {
      if (!stage.inputStages().isEmpty() && !progress.isDone(stage.index())) {
        announcedTickets.put(
            stage.index(), components.stageCoordinator().announce(stage, region, rank, progress));
      }
    }
    startReadyStages();
  }

  /** Starts the stages whose inputs are ready and whose start isn't delayed. */
  private void startReadyStages() {
    if (runEnded) {
      return;
    }
    if (progress.allDone()) {
      runEnded = true;
      listener.onDone(progress.requestInputHandles());
      return;
    }
    for (StageSpec stage :
        progress.startReadyStages(this::expectedMillis, components.loop().now())) {
      if (resultsLost(progress.inputHandles(stage))) {
        runEnded = true;
        listener.onResultsLost();
        return;
      }
      submitStage(stage);
    }
    double millisToNextStart =
        progress.nextStartMillis(this::expectedMillis, components.loop().now());
    if (millisToNextStart >= 0) {
      Duration delay =
          Duration.ofMillis((long) Math.min(millisToNextStart, MAX_RECHECK_MILLIS) + 1);
      guard.after(delay, this::startReadyStages);
    }
  }

  /** Returns whether any of the results is held by an upstream of an evacuated zone. */
  boolean resultsLost(List<String> handles) {
    return handles.stream()
        .anyMatch(
            handle -> components.stageCoordinator().resultLost(progress.serviceOf(handle), handle));
  }

  private void submitStage(StageSpec stage) {
    long now = components.loop().now();
    double millisAfterStage =
        progress.remainingMillisAfter(stage.index(), this::expectedMillis)
            + components.firstByteTimes().expectedMillis(route.name(), now);
    long nanosAfterStage = Duration.ofMillis((long) Math.min(millisAfterStage, 60_000)).toNanos();
    long expectedCallNanos =
        Duration.ofMillis((long) Math.min(expectedMillis(stage.index(), 0), 300)).toNanos();
    StageWork work =
        new StageWork(
            0,
            "",
            requestId,
            stage.index(),
            stage.service(),
            preferredZone(stage),
            rank,
            firstByteDueAt - nanosAfterStage - expectedCallNanos,
            deadline,
            stage.resultBytes(),
            progress.missingPieces(stage.index()),
            stage.inputStages().isEmpty() ? pieceKey : "",
            progress.inputHandles(stage));
    components
        .log()
        .event(GatewayEvent.STAGE_SENT)
        .with("request", requestId)
        .with("stage", stage.index())
        .with("service", stage.service())
        .with("region", region)
        .with("zone", work.zone())
        .with("pieces", work.pieces().size())
        .with("expected_ms", (long) Math.min(expectedMillis(stage.index(), 0), 1e6))
        .with("slack_ms", GatewayComponents.millisBetween(now, work.latestStart()))
        .write();
    long sentAt = now;
    ticketsByStage.put(
        stage.index(),
        components
            .stageCoordinator()
            .submit(
                announcedTickets.getOrDefault(
                    stage.index(), components.stageCoordinator().newTicket()),
                work,
                region,
                guard.receiver(outcome -> onPieceOutcome(stage, outcome, sentAt))));
    announcedTickets.remove(stage.index());
  }

  private String preferredZone(StageSpec stage) {
    int pieces = progress.missingPieces(stage.index()).size();
    Map<String, Long> inputBytesByZone = new HashMap<>();
    for (int inputStage : stage.inputStages()) {
      StageSpec producer = route.stages().get(inputStage);
      for (String handle : progress.resultHandles(inputStage)) {
        String producerZone =
            components.stageCoordinator().producerZone(producer.service(), handle);
        inputBytesByZone.merge(producerZone, producer.resultBytes() * pieces, Long::sum);
      }
    }
    inputBytesByZone.remove("");
    String readerZone = progress.isReadOnlyByRequest(stage.index()) ? engineZone : "";
    return StageZone.choose(inputBytesByZone, readerZone, stage.resultBytes() * pieces);
  }

  private void onPieceOutcome(StageSpec stage, PieceOutcome outcome, long sentAt) {
    String handle = outcome.handle();
    if (runEnded) {
      if (handle != null) {
        components.stageCoordinator().release(stage.service(), region, List.of(handle));
      }
      return;
    }
    if (handle == null) {
      runEnded = true;
      logStageEnd(stage, sentAt, outcome.status().toString());
      listener.onFailed("stage " + stage.index() + " " + outcome.status());
      return;
    }
    progress.recordResult(stage.index(), outcome.piece(), handle);
    if (progress.isDone(stage.index())) {
      ticketsByStage.remove(stage.index());
      logStageEnd(stage, sentAt, "DONE");
      releaseConsumed();
      startReadyStages();
    }
  }

  private void logStageEnd(StageSpec stage, long sentAt, String outcome) {
    components
        .log()
        .event(GatewayEvent.STAGE_ENDED)
        .with("request", requestId)
        .with("stage", stage.index())
        .with("outcome", outcome)
        .with("ms", GatewayComponents.millisBetween(sentAt, components.loop().now()))
        .write();
  }

  private void releaseConsumed() {
    releaseHandles(progress.takeConsumedHandles());
  }

  private void releaseHandles(List<String> handles) {
    if (!handles.isEmpty()) {
      Map<String, List<String>> handlesByService = new HashMap<>();
      for (String handle : handles) {
        handlesByService
            .computeIfAbsent(progress.serviceOf(handle), s -> new ArrayList<>())
            .add(handle);
      }
      handlesByService.forEach(
          (service, serviceHandles) ->
              components.stageCoordinator().release(service, region, serviceHandles));
    }
  }

  /** Cancels the stages in progress and frees all results. */
  void cancel() {
    runEnded = true;
    ticketsByStage.values().forEach(components.stageCoordinator()::cancel);
    ticketsByStage.clear();
    announcedTickets.forEach(
        (stage, ticket) ->
            components
                .stageCoordinator()
                .withdraw(ticket, route.stages().get(stage).service(), region));
    announcedTickets.clear();
    releaseHandles(progress.takeAllHandles());
  }
}
