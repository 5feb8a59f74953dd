package org.oriolewell.gateway;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.oriolewell.core.capacity.SharedCapacity;
import org.oriolewell.core.capacity.UnansweredWork;
import org.oriolewell.core.eligibility.ColdUpstreams;
import org.oriolewell.core.eligibility.EligibilityCheck;
import org.oriolewell.core.eligibility.EligibilityRule;
import org.oriolewell.core.eligibility.RegionRule;
import org.oriolewell.core.overload.BodyRate;
import org.oriolewell.core.overload.CallerPatience;
import org.oriolewell.core.overload.FirstByteTimes;
import org.oriolewell.core.overload.ForecastBias;
import org.oriolewell.core.placement.Placement;
import org.oriolewell.core.placement.UpstreamHealth;
import org.oriolewell.core.retry.SharedRetryBudget;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.route.CallerLimits;
import org.oriolewell.core.route.RouteTable;
import org.oriolewell.core.route.Workspace;
import org.oriolewell.core.stage.PieceCheck;
import org.oriolewell.gateway.ControlFeed.Peer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.LogOutput;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.program.ExitCode;
import org.oriolewell.runtime.program.Program;
import org.oriolewell.runtime.settings.Settings;

/** A running gateway. Closing it is a graceful stop that finishes the requests in flight. */
public final class Gateway implements AutoCloseable, CallerConnection.Handler, Program.Reloadable {
  /** Time-out of opening a connection: two round trips between regions and a lost packet. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  /** Limits on callers' requests before a configuration is known. */
  private static final CallerLimits DEFAULT_LIMITS =
      new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

  /** Time for which connections are accepted after the order to stop: two readiness checks. */
  private static final Duration STOP_ACCEPTING_DELAY = Duration.ofMillis(2300);

  /** Time before the stop time-out at which waiting for requests in flight ends. */
  private static final Duration STOP_MARGIN = Duration.ofMillis(400);

  /** Time in which the answers of the requests that a stop ends are written. */
  private static final Duration STOP_OUTPUT_TIMEOUT = Duration.ofMillis(250);

  /**
   * Time for which a connection stays open during a stop after it was opened, or after an answer
   * that didn't announce its end, since the next request may be on its way.
   */
  private static final Duration NEXT_REQUEST_TIMEOUT = Duration.ofMillis(500);

  /** Interval at which a graceful stop checks whether all requests have ended. */
  private static final Duration STOP_CHECK_INTERVAL = Duration.ofMillis(50);

  /** Interval at which idle connections to upstreams are checked for their time-out. */
  private static final Duration IDLE_SWEEP_INTERVAL = Duration.ofMillis(500);

  private final EventLoop loop;
  private final EventLog log;
  private final ControlPlane control;
  private final AnswerMemory answerMemory;
  private final CallerPressure callerPressure;
  private final CallerGate callerGate;
  private final RequestDialect dialect;
  private final UpstreamClient client;
  private final UpstreamStatements statements;
  private final EligibilityCheck eligibility;
  private final Evacuations evacuations;
  private final ColdUpstreams coldUpstreams;
  private final UpstreamLimits upstreamLimits;
  private final RuleLog ruleLog;
  private final StageCoordinator stageCoordinator;
  private final PeerMesh mesh;
  private final RequestIntake intake;
  private final StopGate stopGate;
  private final Duration stopTimeout;
  private final CountDownLatch stopFinished = new CountDownLatch(1);
  private final InetSocketAddress callersAddress;
  private EventLoop.Listener callerListener;
  private volatile boolean stopping;

  private Gateway(Settings settings, PlatformAdapter platformAdapter, InstantSource clock)
      throws IOException {
    log = EventLog.of("gateway", clock);
    loop = EventLoop.start("gateway", log, CONNECT_TIMEOUT, Gateway::endProcess);
    dialect = platformAdapter.requestDialect();
    PrometheusRegistry registry = new PrometheusRegistry();
    final GatewayMetrics metrics = GatewayMetrics.register(registry);
    CallerBounds bounds = CallerBounds.of(settings);
    answerMemory = new AnswerMemory(bounds.memory().responseBytes(), log);
    callerPressure =
        new CallerPressure(loop, bounds.memory().inputBytes(), log, metrics::callerLost);
    callerGate = new CallerGate(bounds.connections(), log, metrics::callerLost);
    client =
        UpstreamClient.create(
            loop,
            dialect.attemptIdHeader(),
            answerMemory,
            Ipv4SocketAddress.parse(settings.value(GatewaySettings.STORE_ADDRESS)),
            bounds.connections().maxUpstreams());
    StoreCaller store = StoreCaller.create(loop, client);
    Peer self =
        new Peer(
            settings.value(GatewaySettings.NAME),
            Ipv4SocketAddress.parseBindAddress(settings.value(GatewaySettings.PEER_ADDRESS)),
            settings.value(GatewaySettings.ZONE),
            settings.value(GatewaySettings.REGION));
    ControlFeed feed = platformAdapter.controlFeed(settings, store);
    control =
        ControlPlane.create(
            loop,
            feed,
            self,
            settings.value(GatewaySettings.KEY_REVOCATION_LIMIT),
            settings.value(GatewaySettings.LAPSE_GRACE),
            settings.value(GatewaySettings.SETTLE_TIME),
            clock,
            log);
    Regions regions = Regions.parse(settings.value(GatewaySettings.ZONE_REGIONS));
    final UpstreamHealth health = UpstreamHealth.create();
    final UnansweredWork unansweredWork = UnansweredWork.create();
    final SharedCapacity capacity = SharedCapacity.of(unansweredWork);
    statements = new UpstreamStatements(loop, control, metrics, log);
    stageCoordinator =
        new StageCoordinator(
            loop, control, client, platformAdapter.stageDialect(), regions, statements, log);
    mesh =
        PeerMesh.start(
            loop, control, stageCoordinator, settings.value(GatewaySettings.PEER_ADDRESS), log);
    ObservationExchange exchange = new ObservationExchange(loop, mesh, self.name());
    mesh.observationListener(exchange);
    if (settings.value(GatewaySettings.LEARN_CAPACITY)) {
      CapacityExchange capacityExchange = new CapacityExchange(loop, control, mesh, capacity);
      loop.execute(capacityExchange::start);
    }
    final CrashGuard crashGuard = new CrashGuard(loop, control, feed, client, exchange, log);
    stopGate = new StopGate(loop);
    coldUpstreams = ColdUpstreams.create(self.name(), control::coldStart);
    ruleLog = new RuleLog(loop, control, regions, coldUpstreams, log);
    upstreamLimits =
        new UpstreamLimits(loop, control, mesh, regions, exchange, coldUpstreams, metrics, log);
    evacuations = new Evacuations(regions, log);
    control.evacuationListener(evacuations);
    List<EligibilityRule> rules = new ArrayList<>(statements.rules());
    rules.addAll(List.of(RegionRule.of(regions::regionOf), evacuations.zones(), upstreamLimits));
    eligibility = EligibilityCheck.of(rules);
    GatewayComponents components =
        new GatewayComponents(
            loop,
            control,
            client,
            dialect,
            stageCoordinator,
            regions,
            health,
            unansweredWork,
            capacity,
            placement(settings, health, capacity),
            FirstByteTimes.create(),
            ForecastBias.create(),
            CallerPatience.create(),
            SharedRetryBudget.create(
                settings.value(GatewaySettings.RETRY_RATIO),
                settings.value(GatewaySettings.RETRY_SLACK),
                Duration.ofSeconds(settings.value(GatewaySettings.RETRY_WINDOW)),
                () -> control.peers().size() + 1),
            crashGuard,
            upstreamLimits,
            statements,
            eligibility,
            stopGate,
            settings.value(GatewaySettings.MAX_ANSWER_BYTES),
            metrics,
            log);
    intake =
        new RequestIntake(components, PieceCheck.of(settings.value(GatewaySettings.MAX_PIECES)));
    stopTimeout = settings.value(GatewaySettings.STOP_TIMEOUT);
    OperatorsHandler operatorsHandler =
        new OperatorsHandler(
            settings.value(GatewaySettings.READY_PATH),
            this::ready,
            registry,
            () -> {
              metrics.setInFlight(intake.inFlight());
              metrics.setOpenExchanges(intake.openExchanges());
              metrics.setBufferedBytes(answerMemory.bytes());
              metrics.setViewAge(control.ageMillis() / 1000.0);
              metrics.setUpstreamSpeeds(capacity.speeds(loop.now()));
              metrics.setQuarantined(crashGuard.quarantinedCount());
              statements.updateMetrics();
              metrics.setColdUpstreams(coldUpstreams.coldCount(loop.now()));
              metrics.setEvacuatedZones(evacuations.zones().size());
              metrics.setCallerBytes(callerPressure.memory().bytesByKind());
              metrics.setCallerConnections(callerGate.connections().size());
            });
    EventLoop.Listener operatorListener =
        listenHttp(
            settings.value(GatewaySettings.OPERATOR_ADDRESS),
            operatorsHandler,
            new CallerPressure(loop, CallerBounds.OPERATOR_BYTES, log, metrics::callerLost),
            bounds.bodyRate(),
            EventLoop.AcceptGate.OPEN);
    callerListener =
        listenHttp(
            settings.value(GatewaySettings.CALLER_ADDRESS),
            this,
            callerPressure,
            bounds.bodyRate(),
            callerGate);
    callersAddress = callerListener.address();
    log.event(GatewayEvent.STARTED)
        .with("node", self.name())
        .with("callers", callersAddress)
        .with("operators", operatorListener.address())
        .with("peers", self.address())
        .write();
    bounds.log(log);
    loop.execute(this::startOnLoop);
  }

  /**
   * Starts a gateway; it accepts connections when this method returns.
   *
   * @throws IOException if one of the listening addresses can't be bound
   */
  public static Gateway start(
      Settings settings, PlatformAdapter platformAdapter, InstantSource clock) throws IOException {
    return new Gateway(settings, platformAdapter, clock);
  }

  /** Ends the process at once if a class can't be loaded; its supervisor restarts it. */
  private static void endProcess(Error cause) {
    LogOutput.flush();
    Runtime.getRuntime().halt(ExitCode.FAILED);
  }

  private EventLoop.Listener listenHttp(
      String address,
      CallerConnection.Handler handler,
      CallerPressure pressure,
      BodyRate bodyRate,
      EventLoop.AcceptGate gate)
      throws IOException {
    CallerResources resources =
        new CallerResources(loop, answerMemory, pressure, new CallerTurns(loop), bodyRate);
    return loop.listen(
        UpstreamClient.toInetSocketAddress(Ipv4SocketAddress.parseBindAddress(address)),
        endPoint -> new CallerConnection(endPoint, loop::execute, handler, resources),
        gate);
  }

  private static Placement placement(
      Settings settings, UpstreamHealth health, SharedCapacity capacity) {
    SplittableRandom random = new SplittableRandom(settings.value(GatewaySettings.NAME).hashCode());
    return settings.value(GatewaySettings.LEARN_CAPACITY)
        ? Placement.of(health, capacity, random)
        : Placement.of(health, random);
  }

  private void startOnLoop() {
    control.onChange(mesh::updatePeers);
    control.onChange(stageCoordinator::refreshUpstreams);
    stageCoordinator.start(mesh, eligibility, evacuations.zones(), coldUpstreams, upstreamLimits);
    control.start();
    loop.every(IDLE_SWEEP_INTERVAL, client::closeStale);
    statements.start();
    loop.every(
        CallerGate.CHECK_INTERVAL,
        () -> callerGate.check(() -> loop.resumeAccepting(callerListener)));
    loop.every(IDLE_SWEEP_INTERVAL, ruleLog::tick);
  }

  private boolean ready() {
    return !stopping && control.table() != null && control.fresh();
  }

  @Override
  public void onRequest(CallerExchange exchange) {
    intake.accept(exchange);
  }

  @Override
  public CallerLimits limits() {
    RouteTable table = control.table();
    return table == null ? DEFAULT_LIMITS : table.limits();
  }

  @Override
  public boolean stopping() {
    return stopping || callerGate.crowded();
  }

  @Override
  public String workspaceOf(HttpFields headers) {
    RouteTable table = control.table();
    String apiKey = dialect.decode(headers).apiKey();
    return table == null || apiKey == null
        ? ""
        : table.workspace(apiKey).map(Workspace::name).orElse("");
  }

  @Override
  public void onOpened(CallerConnection connection) {
    callerGate.opened(connection);
  }

  @Override
  public void onClosed(CallerConnection connection) {
    callerGate.closed(connection);
  }

  /** Returns the bound address of the callers' port. */
  public InetSocketAddress callersAddress() {
    return callersAddress;
  }

  @Override
  public void reload(Settings settings) {
    // No setting takes effect here: addresses and limits are fixed when the process starts.
    log.event(GatewayEvent.SETTINGS_RELOADED)
        .with("node", settings.value(GatewaySettings.NAME))
        .write();
  }

  @Override
  public void reloadRefused(List<String> problems) {
    log.event(GatewayEvent.SETTINGS_REFUSED).with("problems", problems).write();
  }

  @Override
  public void close() {
    if (stopping) {
      return;
    }
    log.event(GatewayEvent.STOPPING).with("in_flight", intake.inFlight()).write();
    stopping = true;
    long stopStartedAt = loop.now();
    loop.execute(
        () -> {
          stopGate.stop(
              stopStartedAt + STOP_ACCEPTING_DELAY.plus(NEXT_REQUEST_TIMEOUT).toNanos(),
              stopStartedAt + stopTimeout.minus(STOP_MARGIN).toNanos());
          mesh.drain();
          control.unregister();
          loop.after(STOP_ACCEPTING_DELAY, () -> stopAccepting(stopStartedAt));
        });
    try {
      stopFinished.await(stopTimeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log.event(GatewayEvent.STOPPED).with("open", intake.inFlight()).write();
    loop.close();
  }

  private void stopAccepting(long stopStartedAt) {
    try {
      callerListener.close();
    } catch (IOException e) {
      log.event(GatewayEvent.FAILED)
          .with("reason", "the callers' port stays open")
          .cause(e)
          .write();
    }
    closeIdleCallers();
    // Not timed from the start of the stop: accepted connections are opened by later tasks.
    stopGate.stopAccepting(loop.now() + STOP_CHECK_INTERVAL.toNanos());
    loop.after(STOP_CHECK_INTERVAL, () -> awaitIdle(stopStartedAt));
  }

  private void closeIdleCallers() {
    callerGate.connections().stream()
        .filter(connection -> !connection.recentlyUsed(NEXT_REQUEST_TIMEOUT))
        .forEach(CallerConnection::closeIfIdle);
  }

  private void awaitIdle(long stopStartedAt) {
    closeIdleCallers();
    boolean idle =
        callerGate.connections().isEmpty() && intake.inFlight() == 0 && stageCoordinator.idle();
    boolean timedOut = loop.now() - stopStartedAt > stopTimeout.minus(STOP_MARGIN).toNanos();
    if (idle) {
      stopFinished.countDown();
    } else if (timedOut) {
      log.event(GatewayEvent.STOP_TIMED_OUT).with("open", intake.inFlight()).write();
      intake.endForStop();
      awaitOutput(loop.now());
    } else {
      loop.after(STOP_CHECK_INTERVAL, () -> awaitIdle(stopStartedAt));
    }
  }

  private void awaitOutput(long outputStartedAt) {
    closeIdleCallers();
    boolean timedOut = loop.now() - outputStartedAt > STOP_OUTPUT_TIMEOUT.toNanos();
    if (callerGate.connections().isEmpty() || timedOut) {
      stopFinished.countDown();
    } else {
      loop.after(STOP_CHECK_INTERVAL, () -> awaitOutput(outputStartedAt));
    }
  }
}
