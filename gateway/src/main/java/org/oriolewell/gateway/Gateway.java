package org.oriolewell.gateway;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.oriolewell.core.overload.CallerPatience;
import org.oriolewell.core.overload.FirstByteTimes;
import org.oriolewell.core.overload.ForecastBias;
import org.oriolewell.core.placement.Placement;
import org.oriolewell.core.placement.UpstreamHealth;
import org.oriolewell.core.retry.SharedRetryBudget;
import org.oriolewell.core.route.CallerLimits;
import org.oriolewell.core.route.RouteTable;
import org.oriolewell.gateway.ControlFeed.Peer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.LogOutput;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.program.ExitCode;
import org.oriolewell.runtime.program.Program;
import org.oriolewell.runtime.settings.Settings;

/** A running gateway. Closing it is a planned stop that finishes the requests in flight. */
public final class Gateway implements AutoCloseable, CallerConnection.Handler, Program.Reloadable {
  /** Longest time to open a connection: two round trips between regions and a lost packet. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  /** Bounds used before a configuration is known. */
  private static final CallerLimits DEFAULT_LIMITS =
      new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

  /** Time for which new connections are taken after the order to stop: two readiness checks. */
  private static final Duration STOP_ACCEPTING_AFTER = Duration.ofMillis(2300);

  /** Time before the kill at which a planned stop ends in any case. */
  private static final Duration STOP_MARGIN = Duration.ofMillis(400);

  /** Interval in which a planned stop looks whether all requests have ended. */
  private static final Duration STOP_CHECK = Duration.ofMillis(50);

  /** Interval in which idle connections are closed before their upstream does it. */
  private static final Duration SWEEP = Duration.ofMillis(500);

  private final EventLoop loop;
  private final EventLog log;
  private final ControlPlane control;
  private final UpstreamClient client;
  private final StageDesk desk;
  private final PeerMesh mesh;
  private final RequestIntake intake;
  private final Duration stopTimeout;
  private final Set<CallerConnection> callers = new HashSet<>();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final InetSocketAddress callersAddress;
  private EventLoop.Listener callersPort;
  private volatile boolean stopping;

  private Gateway(Settings settings, PlatformAdapter platform, InstantSource clock)
      throws IOException {
    log = EventLog.of("gateway", clock);
    loop = EventLoop.start("gateway", log, CONNECT_TIMEOUT, Gateway::endProcess);
    Regions regions = Regions.parse(settings.value(GatewaySettings.ZONE_REGIONS));
    RequestDialect dialect = platform.requestDialect();
    client = UpstreamClient.create(loop, dialect.attemptIdHeader());
    StoreCaller store =
        StoreCaller.create(loop, client, settings.value(GatewaySettings.STORE_ADDRESS));
    Peer self =
        new Peer(
            settings.value(GatewaySettings.NAME),
            settings.value(GatewaySettings.PEER_ADDRESS),
            settings.value(GatewaySettings.ZONE),
            settings.value(GatewaySettings.REGION));
    control =
        ControlPlane.create(
            loop,
            platform.controlFeed(settings, store),
            self,
            settings.value(GatewaySettings.KEY_REVOCATION_LIMIT),
            settings.value(GatewaySettings.LAPSE_GRACE),
            clock,
            log);
    PrometheusRegistry registry = new PrometheusRegistry();
    GatewayMetrics metrics = GatewayMetrics.register(registry);
    UpstreamHealth health = UpstreamHealth.create();
    desk = new StageDesk(loop, control, client, platform.stageDialect(), regions, log);
    mesh = PeerMesh.start(loop, control, desk, settings.value(GatewaySettings.PEER_ADDRESS), log);
    Services services =
        new Services(
            loop,
            control,
            client,
            dialect,
            desk,
            regions,
            health,
            Placement.of(health, new SplittableRandom(self.name().hashCode())),
            FirstByteTimes.create(),
            ForecastBias.create(),
            CallerPatience.create(),
            SharedRetryBudget.create(
                settings.value(GatewaySettings.RETRY_RATIO),
                settings.value(GatewaySettings.RETRY_SLACK),
                Duration.ofSeconds(settings.value(GatewaySettings.RETRY_WINDOW)),
                () -> control.peers().size() + 1),
            metrics,
            log);
    intake = new RequestIntake(services);
    stopTimeout = settings.value(GatewaySettings.STOP_TIMEOUT);
    OperatorsHandler operators =
        new OperatorsHandler(
            settings.value(GatewaySettings.READY_PATH),
            this::ready,
            registry,
            () -> {
              metrics.inFlight(intake.inFlight());
              metrics.viewAge(control.ageMillis() / 1000.0);
            });
    EventLoop.Listener operatorsPort =
        listen(settings.value(GatewaySettings.OPERATOR_ADDRESS), operators);
    callersPort = listen(settings.value(GatewaySettings.CALLER_ADDRESS), this);
    callersAddress = callersPort.address();
    log.event(GatewayEvent.STARTED)
        .with("node", self.name())
        .with("callers", callersAddress)
        .with("operators", operatorsPort.address())
        .with("peers", self.address())
        .write();
    loop.execute(this::begin);
  }

  /**
   * Starts a gateway.
   *
   * @throws IOException if an address can't be bound
   */
  public static Gateway start(Settings settings, PlatformAdapter platform, InstantSource clock)
      throws IOException {
    return new Gateway(settings, platform, clock);
  }

  /** Ends the process at once; its supervisor starts it again with classes that can be loaded. */
  private static void endProcess(Error cause) {
    LogOutput.flush();
    Runtime.getRuntime().halt(ExitCode.FAILED);
  }

  private EventLoop.Listener listen(String address, CallerConnection.Handler handler)
      throws IOException {
    return loop.listen(
        UpstreamClient.parse(address),
        endPoint -> new CallerConnection(endPoint, loop::execute, loop, handler));
  }

  private void begin() {
    control.onChange(mesh::peersListed);
    control.onChange(desk::changed);
    desk.start(mesh);
    control.start();
    loop.every(SWEEP, client::closeStale);
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
    return stopping;
  }

  @Override
  public void onOpened(CallerConnection connection) {
    callers.add(connection);
  }

  @Override
  public void onClosed(CallerConnection connection) {
    callers.remove(connection);
  }

  /** Returns the address for callers. */
  public InetSocketAddress callersAddress() {
    return callersAddress;
  }

  @Override
  public void reload(Settings settings) {
    // Addresses and bounds stay those of the start; a process keeps them for its life.
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
    long begun = loop.now();
    loop.execute(
        () -> {
          mesh.drain();
          control.leave();
          loop.after(STOP_ACCEPTING_AFTER, this::stopAccepting);
          loop.after(STOP_ACCEPTING_AFTER.plus(STOP_CHECK), () -> awaitIdle(begun));
        });
    try {
      stopped.await(stopTimeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log.event(GatewayEvent.STOPPED).with("open", intake.inFlight()).write();
    loop.close();
  }

  private void stopAccepting() {
    try {
      callersPort.close();
    } catch (IOException e) {
      log.event(GatewayEvent.FAILED)
          .with("reason", "the callers' port stays open")
          .cause(e)
          .write();
    }
    closeIdle();
  }

  private void closeIdle() {
    List.copyOf(callers).stream().filter(CallerConnection::idle).forEach(CallerConnection::close);
  }

  private void awaitIdle(long begun) {
    closeIdle();
    boolean idle = callers.isEmpty() && intake.inFlight() == 0 && desk.idle();
    boolean timeUp = loop.now() - begun > stopTimeout.minus(STOP_MARGIN).toNanos();
    if (idle || timeUp) {
      stopped.countDown();
    } else {
      loop.after(STOP_CHECK, () -> awaitIdle(begun));
    }
  }
}
