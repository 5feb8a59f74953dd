package org.oriolewell.entry;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.oriolewell.core.call.IdempotencyKey;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigMember;
import org.oriolewell.core.membership.Membership;
import org.oriolewell.core.membership.MembershipSettings;
import org.oriolewell.core.result.RequestPlan;
import org.oriolewell.core.retry.Backoff;
import org.oriolewell.core.retry.RetryBudget;
import org.oriolewell.core.retry.RetryBudgetSettings;
import org.oriolewell.core.routing.Place;
import org.oriolewell.core.routing.Router;
import org.oriolewell.core.routing.RouterSettings;
import org.oriolewell.runtime.admin.AdminApi;
import org.oriolewell.runtime.admin.AdminToken;
import org.oriolewell.runtime.config.ConfigService;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.http.OperatorsPort;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;
import org.oriolewell.runtime.platform.HttpHostList;
import org.oriolewell.runtime.platform.HttpKeyValueStore;
import org.oriolewell.runtime.platform.KeyValueStore;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.tls.Tls;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireClient;

/**
 * The entry process: its HTTP servers, links to agents and timers. {@link #close} is a planned
 * stop, which waits for the requests in flight.
 */
final class Entry implements AutoCloseable {
  private static final int OPERATORS_MAX_BODY_BYTES = 1 << 20;
  private static final Duration MAX_REDIAL_DELAY = Duration.ofSeconds(2);

  /**
   * Interval of checks of the agents, short enough that a dead agent is detected within a second of
   * its last message.
   */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  private final Settings settings;
  private final EventLog log = EventLog.of("entry", InstantSource.system());
  private final InstantSource wallClock = InstantSource.system();
  private final InstantSource monotonicClock = new MonotonicClock();
  private final Random random = new Random();
  private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(2);
  private final HttpClient http = new HttpClient();
  private final String processName;
  private final EntryMetrics metrics = new EntryMetrics(new PrometheusRegistry());
  private final WireClient wireClient;
  private final AgentDirectory agents;
  private final Optional<Tls> tls;
  private final ConfigMember ownMember;
  private final ConfigService config;
  private final ControlMessageHandler controlMessages;
  private final CallersApi api;
  private final JsonServer callersServer;
  private final JsonServer operatorsServer;
  private volatile boolean stopping;

  private Entry(Settings settings, Consumer<JsonServer> additionalRoutes) throws Exception {
    this.settings = settings;
    processName = value(EntrySettings.NAME) + "-" + UUID.randomUUID().toString().substring(0, 8);
    tls = Tls.fromSettings(settings, log);
    timers.setRemoveOnCancelPolicy(true);
    http.start();
    wireClient =
        WireClient.start(
            value(EntrySettings.CONNECT_TIMEOUT),
            value(EntrySettings.MAX_FRAME_BYTES),
            tls.isPresent() ? tls.get().client() : null);
    ownMember = new ConfigMember(value(EntrySettings.NAME), value(EntrySettings.REGION));
    config = ConfigService.start(ownMember, true, createStore(), random, wallClock, log);
    config.knownEntries(List.of(ownMember));
    controlMessages =
        new ControlMessageHandler(
            config,
            processName,
            Map.of("region", value(EntrySettings.REGION), "zone", value(EntrySettings.ZONE)),
            this::agentPeers);
    agents = createDirectory();
    api = createCallersApi();
    callersServer =
        api.addTo(
            createServer(
                listenAddress(EntrySettings.CALLERS_ADDRESS, EntrySettings.CALLERS_PORT),
                value(EntrySettings.MAX_BODY_BYTES)));
    operatorsServer =
        OperatorsPort.addRoutes(
            createServer(
                listenAddress(EntrySettings.OPERATORS_ADDRESS, EntrySettings.OPERATORS_PORT),
                OPERATORS_MAX_BODY_BYTES),
            metrics.registry(),
            this::isReady,
            this::status);
    AdminApi.of(config, controlMessages.exchange(), value(AdminToken.SETTING), wallClock, log)
        .addRoutes(operatorsServer);
    additionalRoutes.accept(operatorsServer);
    metrics.gauge(
        "requests_in_flight", "Requests that aren't fully answered.", api::requestsInFlight);
    metrics.gauge("agents_connected", "Agents that are connected.", this::connectedAgentCount);
  }

  /**
   * Starts an entry with its callers' and operators' ports.
   *
   * @param additionalRoutes adds routes to the operators' server before it starts
   */
  static Entry start(Settings settings, Consumer<JsonServer> additionalRoutes) throws Exception {
    Entry entry = new Entry(settings, additionalRoutes);
    entry.startHeartbeats();
    entry.startHostList();
    entry.operatorsServer.start("operators");
    entry.callersServer.start("callers");
    entry.log.event(RuntimeEvent.STARTED).with("process", entry.processName).write();
    return entry;
  }

  private <T> T value(Setting<T> setting) {
    return settings.value(setting);
  }

  private InetSocketAddress listenAddress(Setting<String> host, Setting<Integer> port) {
    return new InetSocketAddress(InetAddresses.forString(value(host)), value(port));
  }

  private JsonServer createServer(InetSocketAddress address, int maxBodyBytes) throws IOException {
    return tls.isPresent()
        ? JsonServer.withTls(address, maxBodyBytes, tls.get().server(false), log)
        : JsonServer.of(address, maxBodyBytes, log);
  }

  private KeyValueStore createStore() {
    String url = value(EntrySettings.STORE_URL);
    return url.isEmpty()
        ? new UnavailableStore()
        : HttpKeyValueStore.of(http, URI.create(url), value(EntrySettings.STORE_TIMEOUT));
  }

  /** Returns the configuration in force; version 0 stands for none. */
  private Optional<ConfigDocument> configInForce() {
    return config.version() > 0 ? Optional.of(config.current()) : Optional.empty();
  }

  private List<AgentPeer> agentPeers() {
    return agents.peers();
  }

  private AgentDirectory createDirectory() {
    LinkContext context =
        new LinkContext(
            wireClient,
            this::hello,
            config::version,
            monotonicClock,
            controlMessages,
            metrics,
            log);
    Duration pingInterval = value(EntrySettings.PING_INTERVAL);
    Duration deadTimeout = value(EntrySettings.DEAD_TIMEOUT);
    MembershipSettings membershipSettings =
        new MembershipSettings(
            pingInterval,
            deadTimeout.minus(pingInterval),
            value(EntrySettings.MAX_FIRST_REDIAL_DELAY),
            MAX_REDIAL_DELAY);
    return new AgentDirectory(
        value(EntrySettings.STATIC_AGENTS).stream().map(Entry::staticAgent).toList(),
        new AgentDirectory.Settings(
            pingInterval, value(EntrySettings.IDLE_PING_INTERVAL), deadTimeout),
        this::configInForce,
        context,
        Membership.create(membershipSettings, random),
        this::poolRouter);
  }

  private PoolRouter poolRouter(String pool) {
    Place ownPlace = new Place(value(EntrySettings.ZONE), value(EntrySettings.REGION));
    return new PoolRouter(
        Router.create(pool, RouterSettings.defaults(), ownPlace, processName, random),
        monotonicClock);
  }

  /** Parses an agent from the settings, in the form {@code IP:PORT} or {@code NAME@IP:PORT}. */
  private static AgentProposal staticAgent(String text) {
    int separator = text.indexOf('@');
    HostAndPort address = HostAndPort.fromString(text.substring(separator + 1));
    return new AgentProposal(
        separator < 0 ? text : text.substring(0, separator),
        new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort()),
        "",
        "",
        "",
        false);
  }

  private CallersApi createCallersApi() {
    CallRouter router = new CallRouter(agents, value(EntrySettings.ROUTING_LOG_SHARE), random, log);
    RetryBudgetSettings defaultRetries = RetryBudgetSettings.defaults();
    RetryBudgetSettings retries =
        new RetryBudgetSettings(
            value(EntrySettings.RETRY_RATIO),
            value(EntrySettings.RETRIES_PER_SECOND),
            value(EntrySettings.RETRY_BURST),
            value(EntrySettings.RETRIES_PER_SECOND) / 4,
            value(EntrySettings.RETRY_BURST) * 0.4,
            defaultRetries.hedgeRatio(),
            defaultRetries.hedgeMinPerSecond(),
            defaultRetries.hedgeBurst());
    RequestContext context =
        new RequestContext(
            router,
            agents,
            new StagePlanner(),
            new RetryBudgets(RetryBudget.create(retries), monotonicClock),
            timers,
            monotonicClock,
            () -> IdempotencyKey.generate(wallClock.instant(), random).text(),
            random,
            new RequestPlan.Timing(
                new Backoff(
                    value(EntrySettings.MAX_FIRST_BACKOFF), value(EntrySettings.MAX_BACKOFF)),
                value(EntrySettings.NO_UPSTREAM_WAIT)),
            value(EntrySettings.STREAM_CREDITS),
            metrics,
            log);
    ResumableStreams streams =
        new ResumableStreams(
            timers,
            value(EntrySettings.STREAM_RETENTION),
            value(EntrySettings.MAX_RETAINED_STREAM_TOKENS));
    return new CallersApi(
        this::configInForce,
        new RequestParser(value(EntrySettings.MAX_DEADLINE)),
        context,
        streams,
        new Settler(agents, timers, value(EntrySettings.SETTLE_TIMEOUT)),
        new CallersApi.Limits(
            value(EntrySettings.MAX_REQUESTS), value(EntrySettings.STREAM_GRACE)));
  }

  private void startHeartbeats() {
    runPeriodically(TICK_INTERVAL, agents::tick);
  }

  private void startHostList() {
    String url = value(EntrySettings.HOST_LIST_URL);
    if (url.isEmpty()) {
      return;
    }
    HostListPoller poller =
        new HostListPoller(
            HttpHostList.of(http, URI.create(url), value(EntrySettings.HOST_LIST_TIMEOUT)),
            agents::propose,
            this::updateKnownEntries,
            log);
    runPeriodically(value(EntrySettings.HOST_LIST_POLL_INTERVAL), poller::poll);
  }

  /**
   * Passes the entries of the host list to the configuration service; this entry is added if it
   * isn't listed.
   */
  private void updateKnownEntries(List<ConfigMember> listedEntries) {
    Set<ConfigMember> allEntries = new HashSet<>(listedEntries);
    allEntries.add(ownMember);
    config.knownEntries(allEntries);
  }

  private void runPeriodically(Duration period, Runnable task) {
    Runnable loggingTask =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            log.event(RuntimeEvent.HANDLER_FAILED).cause(e).write();
          }
        };
    timers.scheduleWithFixedDelay(loggingTask, 0, period.toNanos(), TimeUnit.NANOSECONDS);
  }

  private Message.Hello hello() {
    return new Message.Hello(
        Message.PROTOCOL_VERSION,
        processName,
        "entry",
        "",
        value(EntrySettings.ZONE),
        value(EntrySettings.REGION),
        config.version(),
        Map.of(),
        Message.Load.NONE);
  }

  private boolean isReady() {
    return !stopping && config.version() > 0;
  }

  private int connectedAgentCount() {
    return (int) agents.links().stream().filter(link -> link.peer().isPresent()).count();
  }

  private Map<String, Object> status() {
    return Map.of(
        "process",
        processName,
        "role",
        "entry",
        "zone",
        value(EntrySettings.ZONE),
        "region",
        value(EntrySettings.REGION),
        "config_version",
        config.version(),
        "state",
        stopping ? "stopping" : isReady() ? "ready" : "waiting for a configuration",
        "requests_in_flight",
        api.requestsInFlight(),
        "agents",
        agents.links().stream().map(Entry::agentStatus).toList());
  }

  private static Map<String, Object> agentStatus(AgentLink link) {
    String address = link.address().getHostString() + ":" + link.address().getPort();
    return link.peer()
        .map(
            peer ->
                Map.<String, Object>of(
                    "address", address,
                    "connected", true,
                    "name", link.name(),
                    "process", peer.process(),
                    "pool", peer.pool(),
                    "zone", peer.zone(),
                    "draining", peer.load().draining(),
                    "in_flight", link.callsInFlight()))
        .orElse(Map.of("address", address, "connected", false));
  }

  /** Returns the address and port on which the callers' API listens. */
  InetSocketAddress callersAddress() {
    return callersServer.address();
  }

  /** Returns the address and port on which the operators' API listens. */
  InetSocketAddress operatorsAddress() {
    return operatorsServer.address();
  }

  /** Returns the number of requests in flight, which have not been fully answered. */
  int requestsInFlight() {
    return api.requestsInFlight();
  }

  @Override
  public void close() throws Exception {
    if (stopping) {
      return;
    }
    stopping = true;
    api.refuseNewRequests();
    log.event(RuntimeEvent.STOPPING).with("in_flight", api.requestsInFlight()).write();
    awaitRequests();
    callersServer.close();
    timers.shutdownNow();
    agents.close();
    config.close();
    tls.ifPresent(Tls::close);
    wireClient.close();
    http.stop();
    operatorsServer.close();
    log.event(RuntimeEvent.STOPPED).write();
  }

  private void awaitRequests() throws InterruptedException {
    long stopDeadlineNanos = System.nanoTime() + value(EntrySettings.STOP_TIMEOUT).toNanos();
    while (api.requestsInFlight() > 0) {
      if (System.nanoTime() > stopDeadlineNanos) {
        log.event(EntryEvent.STOP_TIMED_OUT).with("in_flight", api.requestsInFlight()).write();
        return;
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }
}
