package org.oriolewell.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.eligibility.CallScope;
import org.oriolewell.core.eligibility.ColdUpstreams;
import org.oriolewell.core.eligibility.Eligibility;
import org.oriolewell.core.eligibility.EligibilityCheck;
import org.oriolewell.core.eligibility.EvacuatedZones;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.RouteTable;
import org.oriolewell.core.route.ServiceSpec;
import org.oriolewell.core.route.StageService;
import org.oriolewell.core.route.StageSpec;
import org.oriolewell.core.stage.PieceOutcome;
import org.oriolewell.core.stage.StageLoad;
import org.oriolewell.core.stage.StageProgress;
import org.oriolewell.core.stage.StageWork;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/**
 * Sends the stages of requests to the gateway that dispatches them, and runs the dispatchers that
 * are assigned to this gateway. For each service and region one gateway dispatches, so that pieces
 * from all gateways are batched into full calls. If that gateway is lost, its work is submitted to
 * the next one; a piece may therefore run twice.
 *
 * <p>Used on the event loop only.
 */
final class StageCoordinator implements PeerMesh.Handler {
  /** Interval of the checks for overdue calls; short compared with a call, which takes 150 ms. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(25);

  /** Interval at which an unchanged load report is sent to the peers again. */
  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

  /** Ticks between load reports to other regions; rarer, since traffic there costs money. */
  private static final int TICKS_PER_REMOTE_REPORT = 8;

  /** Ticks between load reports to gateways of the same region. */
  private static final int TICKS_PER_REGIONAL_REPORT = 2;

  /** Expected time of a stage whose dispatcher has not reported its load yet. */
  private static final double DEFAULT_STAGE_MILLIS = 400;

  private static final String LOCAL_ORIGIN = "local";
  private static final PieceOutcome.Status[] STATUSES = PieceOutcome.Status.values();

  /** Identifies a dispatcher by the service and the region that it serves. */
  private record DispatcherKey(String service, String region) {}

  /** A stage that this gateway has submitted to a dispatcher and that has open pieces. */
  private static final class Submission {
    private final StageWork work;
    private final String region;
    private final Consumer<PieceOutcome> listener;
    private final Set<Integer> openPieces;
    private String dispatcherName = "";

    private Submission(StageWork work, String region, Consumer<PieceOutcome> listener) {
      this.work = work;
      this.region = region;
      this.listener = listener;
      this.openPieces = new TreeSet<>(work.pieces());
    }
  }

  /** The last load that was sent to the peers, and when, in monotonic nanoseconds. */
  private record PublishedLoad(StageLoad load, long publishedAt) {}

  private final EventLoop loop;
  private final ControlPlane control;
  private final UpstreamClient client;
  private final StageDialect dialect;
  private final EventLog log;
  private final Regions regions;
  private final UpstreamStatements statements;
  private final Map<DispatcherKey, StageDispatcher> dispatchers = new HashMap<>();
  private final Map<Long, Submission> submissions = new HashMap<>();
  private final Map<DispatcherKey, StageLoad> loadsByDispatcher = new HashMap<>();
  private final Map<DispatcherKey, PublishedLoad> publishedLoads = new HashMap<>();
  private final Map<String, WireConnection> originConnections = new HashMap<>();
  private @Nullable PeerMesh mesh;
  private EligibilityCheck eligibility = EligibilityCheck.of(List.of());
  private @Nullable ColdUpstreams coldUpstreams;
  private @Nullable UpstreamLimits upstreamLimits;
  private EvacuatedZones evacuatedZones = EvacuatedZones.create();
  private long nextTicket = 1;
  private long ticks;

  StageCoordinator(
      EventLoop loop,
      ControlPlane control,
      UpstreamClient client,
      StageDialect dialect,
      Regions regions,
      UpstreamStatements statements,
      EventLog log) {
    this.loop = loop;
    this.control = control;
    this.client = client;
    this.dialect = dialect;
    this.regions = regions;
    this.statements = statements;
    this.log = log;
  }

  /** Sets the connections to the other gateways and starts the periodic checks. */
  void start(
      PeerMesh peerMesh,
      EligibilityCheck eligibilityCheck,
      EvacuatedZones evacuated,
      ColdUpstreams cold,
      UpstreamLimits limits) {
    mesh = peerMesh;
    eligibility = eligibilityCheck;
    evacuatedZones = evacuated;
    coldUpstreams = cold;
    upstreamLimits = limits;
    loop.every(TICK_INTERVAL, this::tick);
  }

  private PeerMesh mesh() {
    PeerMesh started = mesh;
    if (started == null) {
      throw new IllegalStateException("start() has not been called");
    }
    return started;
  }

  /**
   * Returns the expected time of a stage in a region, in milliseconds from its submission to its
   * results.
   *
   * @param rank urgency of the request, the lowest first
   * @param offsetMillis time from now until the stage is submitted
   */
  double expectedMillis(String service, String region, int rank, double offsetMillis) {
    StageLoad load = loadsByDispatcher.get(new DispatcherKey(service, region));
    return load == null ? DEFAULT_STAGE_MILLIS : load.expectedMillis(rank, offsetMillis);
  }

  /** Returns a new ticket: a number that identifies submitted work within this gateway. */
  long newTicket() {
    return nextTicket++;
  }

  /**
   * Tells the dispatcher of a stage that the stage will be submitted once its inputs exist, so that
   * the dispatcher counts it as load.
   *
   * @return the ticket under which the stage will be submitted
   */
  long announce(StageSpec stage, String region, int rank, StageProgress progress) {
    long ticket = newTicket();
    int pieces = progress.missingPieces(stage.index()).size();
    String dispatcherName = mesh().dispatcherName(stage.service(), region);
    if (dispatcherName.equals(control.self().name())) {
      StageDispatcher localDispatcher =
          findOrCreateDispatcher(new DispatcherKey(stage.service(), region));
      if (localDispatcher != null) {
        localDispatcher.announce(LOCAL_ORIGIN, ticket, rank, stage.resultBytes(), pieces);
      }
    } else {
      mesh()
          .send(
              dispatcherName,
              new Message.StageAnnounce(
                  ticket, stage.service(), region, rank, stage.resultBytes(), pieces));
    }
    return ticket;
  }

  /** Cancels the announcement of a stage that will not be submitted. */
  void withdraw(long ticket, String service, String region) {
    String dispatcherName = mesh().dispatcherName(service, region);
    if (dispatcherName.equals(control.self().name())) {
      StageDispatcher localDispatcher = dispatchers.get(new DispatcherKey(service, region));
      if (localDispatcher != null) {
        localDispatcher.cancel(LOCAL_ORIGIN, ticket);
      }
    } else {
      mesh().send(dispatcherName, new Message.StageCancel(ticket, service, region));
    }
  }

  /**
   * Submits a stage of a request to its dispatcher.
   *
   * @param ticket ticket of {@link #newTicket} or {@link #announce}
   * @param work pieces to run; their ticket and origin are replaced by those of this gateway
   * @param listener called once with the outcome of each piece
   * @return the ticket, for {@link #cancel}
   */
  long submit(long ticket, StageWork work, String region, Consumer<PieceOutcome> listener) {
    StageWork localWork =
        new StageWork(
            ticket,
            LOCAL_ORIGIN,
            work.requestId(),
            work.stage(),
            work.service(),
            work.zone(),
            work.rank(),
            work.latestStart(),
            work.deadline(),
            work.resultBytes(),
            work.pieces(),
            work.key(),
            work.inputs());
    Submission submission = new Submission(localWork, region, listener);
    submissions.put(ticket, submission);
    submitToDispatcher(submission);
    return ticket;
  }

  private void submitToDispatcher(Submission submission) {
    StageWork work = submission.work;
    submission.dispatcherName = mesh().dispatcherName(work.service(), submission.region);
    if (submission.dispatcherName.equals(control.self().name())) {
      StageDispatcher localDispatcher =
          findOrCreateDispatcher(new DispatcherKey(work.service(), submission.region));
      if (localDispatcher != null) {
        localDispatcher.submit(work);
      } else {
        failUnknownService(submission);
      }
      return;
    }
    long now = loop.now();
    Message message =
        new Message.StageSubmit(
            work.ticket(),
            work.requestId(),
            work.stage(),
            work.service(),
            submission.region,
            work.zone(),
            work.rank(),
            Duration.ofNanos(work.latestStart() - now).toMillis(),
            Duration.ofNanos(work.deadline() - now).toMillis(),
            work.resultBytes(),
            List.copyOf(submission.openPieces),
            work.key(),
            work.inputs());
    // If the connection is being lost, onPeersChanged submits the work to the next dispatcher.
    mesh().send(submission.dispatcherName, message);
  }

  /**
   * Fails work of a service that isn't in this gateway's configuration. The outcomes are reported
   * after submit() has returned, since the caller needs the ticket first.
   */
  private void failUnknownService(Submission submission) {
    loop.execute(
        () -> {
          for (int piece : List.copyOf(submission.openPieces)) {
            recordOutcome(
                submission.work.ticket(), PieceOutcome.failed(piece, PieceOutcome.Status.FAILED));
          }
        });
  }

  /** Cancels submitted work; its listener isn't called any more. */
  void cancel(long ticket) {
    Submission submission = submissions.remove(ticket);
    if (submission == null) {
      return;
    }
    if (submission.dispatcherName.equals(control.self().name())) {
      StageDispatcher localDispatcher =
          dispatchers.get(new DispatcherKey(submission.work.service(), submission.region));
      if (localDispatcher != null) {
        localDispatcher.cancel(LOCAL_ORIGIN, ticket);
      }
    } else {
      mesh()
          .send(
              submission.dispatcherName,
              new Message.StageCancel(ticket, submission.work.service(), submission.region));
    }
  }

  /** Returns the availability zone of the upstream that holds a result; empty if it is gone. */
  String producerZone(String service, String handle) {
    String address = dialect.producerAddress(handle);
    return control.roster().usable(service).stream()
        .filter(upstream -> upstream.address().toString().equals(address))
        .findFirst()
        .map(UpstreamInstance::zone)
        .orElse("");
  }

  /** Returns whether the upstream that holds a result is in an evacuated zone. */
  boolean resultLost(String service, String handle) {
    return evacuatedZones.size() > 0 && evacuatedZones.contains(producerZone(service, handle));
  }

  /** Frees stage results at the upstreams of a service that hold them. */
  void release(String service, String region, List<String> handles) {
    if (handles.isEmpty()) {
      return;
    }
    String dispatcherName = mesh().dispatcherName(service, region);
    if (dispatcherName.equals(control.self().name())) {
      StageDispatcher localDispatcher = findOrCreateDispatcher(new DispatcherKey(service, region));
      if (localDispatcher != null) {
        localDispatcher.release(handles);
      }
    } else {
      mesh().send(dispatcherName, new Message.StageRelease(service, region, handles));
    }
  }

  private @Nullable StageDispatcher findOrCreateDispatcher(DispatcherKey dispatcherKey) {
    StageDispatcher existing = dispatchers.get(dispatcherKey);
    if (existing != null) {
      return existing;
    }
    Optional<StageService> stageService = stageService(dispatcherKey.service());
    if (stageService.isEmpty()) {
      return null;
    }
    StageDispatcher newDispatcher =
        new StageDispatcher(
            loop,
            client,
            dialect,
            statements,
            log,
            dispatcherKey.service(),
            stageService.get(),
            eligibility,
            new CallScope(Set.of(dispatcherKey.region()), 0),
            upstream -> coldPermitsMissing(upstream, dispatcherKey.region()),
            this::reportOutcomes);
    dispatchers.put(dispatcherKey, newDispatcher);
    newDispatcher.upstreams(upstreams(dispatcherKey));
    return newDispatcher;
  }

  /** Returns whether an upstream is cold and this gateway may not issue permits for it. */
  private boolean coldPermitsMissing(UpstreamInstance upstream, String region) {
    ColdUpstreams cold = coldUpstreams;
    UpstreamLimits limits = upstreamLimits;
    return cold != null
        && limits != null
        && cold.check(upstream, new CallScope(Set.of(), 0), loop.now())
            instanceof Eligibility.PermitNeeded
        && !limits.mayIssueColdPermits(region);
  }

  private Optional<StageService> stageService(String service) {
    RouteTable table = control.table();
    return table == null
        ? Optional.empty()
        : table.service(service).map(ServiceSpec::stageCapacity);
  }

  private Collection<UpstreamInstance> upstreams(DispatcherKey dispatcherKey) {
    return control.roster().usable(dispatcherKey.service()).stream()
        .filter(upstream -> regions.regionOf(upstream.zone()).equals(dispatcherKey.region()))
        .toList();
  }

  /** Passes the current upstreams to the dispatchers after a change of the control plane. */
  void refreshUpstreams() {
    dispatchers.forEach(
        (dispatcherKey, dispatcher) -> dispatcher.upstreams(upstreams(dispatcherKey)));
  }

  private void reportOutcomes(StageWork work, List<PieceOutcome> outcomes) {
    if (work.origin().equals(LOCAL_ORIGIN)) {
      outcomes.forEach(outcome -> recordOutcome(work.ticket(), outcome));
      return;
    }
    WireConnection connection = originConnections.get(work.origin());
    if (connection == null) {
      return;
    }
    List<Integer> pieces = new ArrayList<>();
    List<Integer> statuses = new ArrayList<>();
    List<String> handles = new ArrayList<>();
    for (PieceOutcome outcome : outcomes) {
      pieces.add(outcome.piece());
      statuses.add(outcome.status().ordinal());
      String handle = outcome.handle();
      handles.add(handle == null ? "" : handle);
    }
    connection.send(
        new Message.StageResults(work.ticket(), work.service(), pieces, statuses, handles));
  }

  private void recordOutcome(long ticket, PieceOutcome outcome) {
    Submission submission = submissions.get(ticket);
    if (submission == null || !submission.openPieces.remove(outcome.piece())) {
      return;
    }
    if (submission.openPieces.isEmpty()) {
      submissions.remove(ticket);
    }
    submission.listener.accept(outcome);
  }

  @Override
  public void onRequest(String origin, WireConnection connection, Message message) {
    originConnections.put(origin, connection);
    if (message instanceof Message.StageSubmit submit) {
      if (submit.key().isEmpty() && submit.inputs().isEmpty()) {
        refuseWork(connection, submit, "the work has neither a key nor inputs");
        return;
      }
      StageDispatcher dispatcher =
          findOrCreateDispatcher(new DispatcherKey(submit.service(), submit.region()));
      if (dispatcher != null) {
        dispatcher.submit(toStageWork(origin, submit));
      } else {
        refuseWork(connection, submit, "the configuration here has no such service");
      }
    } else if (message instanceof Message.StageAnnounce announce) {
      StageDispatcher dispatcher =
          findOrCreateDispatcher(new DispatcherKey(announce.service(), announce.region()));
      if (dispatcher != null) {
        dispatcher.announce(
            origin, announce.ticket(), announce.rank(), announce.resultBytes(), announce.pieces());
      }
    } else if (message instanceof Message.StageCancel cancel) {
      StageDispatcher dispatcher =
          dispatchers.get(new DispatcherKey(cancel.service(), cancel.region()));
      if (dispatcher != null) {
        dispatcher.cancel(origin, cancel.ticket());
      }
    } else if (message instanceof Message.StageRelease release) {
      StageDispatcher dispatcher =
          findOrCreateDispatcher(new DispatcherKey(release.service(), release.region()));
      if (dispatcher != null) {
        dispatcher.release(release.handles());
      }
    }
  }

  /** Fails work that can't be done here, so that its request doesn't wait. */
  private void refuseWork(WireConnection connection, Message.StageSubmit submit, String reason) {
    int failedStatus = PieceOutcome.Status.FAILED.ordinal();
    connection.send(
        new Message.StageResults(
            submit.ticket(),
            submit.service(),
            submit.pieces(),
            Collections.nCopies(submit.pieces().size(), failedStatus),
            Collections.nCopies(submit.pieces().size(), "")));
    log.event(GatewayEvent.STAGE_REFUSED)
        .with("request", submit.requestId())
        .with("service", submit.service())
        .with("reason", reason)
        .write();
  }

  private StageWork toStageWork(String origin, Message.StageSubmit submit) {
    long now = loop.now();
    return new StageWork(
        submit.ticket(),
        origin,
        submit.requestId(),
        submit.stage(),
        submit.service(),
        submit.zone(),
        submit.rank(),
        now + Duration.ofMillis(submit.startMillis()).toNanos(),
        now + Duration.ofMillis(submit.remainingMillis()).toNanos(),
        submit.resultBytes(),
        submit.pieces(),
        submit.key(),
        submit.inputs());
  }

  @Override
  public void onOriginClosed(String origin) {
    originConnections.remove(origin);
    dispatchers.values().forEach(dispatcher -> dispatcher.cancelAll(origin));
  }

  @Override
  public void onAnswer(Message message) {
    if (message instanceof Message.StageResults results) {
      for (int i = 0; i < results.pieces().size(); i++) {
        int piece = results.pieces().get(i);
        String handle = results.handles().get(i);
        PieceOutcome outcome =
            handle.isEmpty()
                ? PieceOutcome.failed(piece, STATUSES[results.statuses().get(i)])
                : PieceOutcome.done(piece, handle);
        recordOutcome(results.ticket(), outcome);
      }
    } else if (message instanceof Message.StageLoadReport load) {
      loadsByDispatcher.put(new DispatcherKey(load.service(), load.region()), decodeLoad(load));
    }
  }

  private static StageLoad decodeLoad(Message.StageLoadReport report) {
    List<StageLoad.Queued> queued = new ArrayList<>();
    for (int i = 0; i < report.ranks().size(); i++) {
      queued.add(
          new StageLoad.Queued(
              report.ranks().get(i),
              report.calls().get(i) / 1000.0,
              report.announced().get(i) / 1000.0));
    }
    return new StageLoad(
        report.service(), report.upstreams(), report.callMillis(), report.residualMillis(), queued);
  }

  @Override
  public void onPeersChanged() {
    for (Submission submission : List.copyOf(submissions.values())) {
      if (!mesh().reachable(submission.dispatcherName)) {
        submitToDispatcher(submission);
      }
    }
  }

  private void tick() {
    dispatchers.values().forEach(StageDispatcher::tick);
    ticks++;
    RouteTable table = control.table();
    if (table == null || ticks % TICKS_PER_REGIONAL_REPORT != 0) {
      return;
    }
    for (ServiceSpec service : table.services()) {
      for (String region : regions.all()) {
        if (service.stageCapacity() != null
            && mesh().dispatcherName(service.name(), region).equals(control.self().name())) {
          publishLoad(
              new DispatcherKey(service.name(), region), ticks % TICKS_PER_REMOTE_REPORT == 0);
        }
      }
    }
  }

  private void publishLoad(DispatcherKey dispatcherKey, boolean includeOtherRegions) {
    StageDispatcher dispatcher = findOrCreateDispatcher(dispatcherKey);
    if (dispatcher == null) {
      return;
    }
    StageLoad load = dispatcher.load();
    loadsByDispatcher.put(dispatcherKey, load);
    PublishedLoad lastPublished = publishedLoads.get(dispatcherKey);
    boolean reportDue =
        lastPublished == null
            || !lastPublished.load().equals(load)
            || loop.now() - lastPublished.publishedAt() > REPORT_INTERVAL.toNanos();
    if (reportDue) {
      publishedLoads.put(dispatcherKey, new PublishedLoad(load, loop.now()));
      mesh().broadcast(encodeLoad(dispatcherKey, load), includeOtherRegions);
    }
  }

  private static Message encodeLoad(DispatcherKey dispatcherKey, StageLoad load) {
    List<Integer> ranks = new ArrayList<>();
    List<Integer> callThousandths = new ArrayList<>();
    List<Integer> announcedThousandths = new ArrayList<>();
    for (StageLoad.Queued queued : load.queued()) {
      ranks.add(queued.rank());
      callThousandths.add((int) Math.min(Integer.MAX_VALUE, queued.waitingCalls() * 1000));
      announcedThousandths.add((int) Math.min(Integer.MAX_VALUE, queued.announcedCalls() * 1000));
    }
    return new Message.StageLoadReport(
        dispatcherKey.service(),
        dispatcherKey.region(),
        load.upstreams(),
        load.callMillis(),
        load.residualMillis(),
        ranks,
        callThousandths,
        announcedThousandths);
  }

  /** Returns whether no dispatcher of this gateway has waiting or running work. */
  boolean idle() {
    return dispatchers.values().stream().allMatch(StageDispatcher::idle);
  }
}
