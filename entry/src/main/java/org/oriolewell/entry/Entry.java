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

/** A running entry with its ports, links and timers. Closing it is a planned stop. */
final class Entry implements AutoCloseable {
  private static final int OPERATORS_BODY_LIMIT = 1 << 20;
  private static final Duration MAX_REDIAL = Duration.ofSeconds(2);

  /** Short enough to find a dead agent within a second of its last sign of life. */
  private static final Duration TICK = Duration.ofMillis(50);

  private final Settings settings;
  private final EventLog log = EventLog.of("entry", InstantSource.system());
  private final InstantSource wall = InstantSource.system();
  private final InstantSource clock = new SteadyClock();
  private final Random random = new Random();
  private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(2);
  private final HttpClient http = new HttpClient();
  private final String process;
  private final EntryMetrics metrics = new EntryMetrics(new PrometheusRegistry());
  private final WireClient wire;
  private final AgentDirectory agents;
  private final Optional<Tls> tls;
  private final ConfigMember self;
  private final ConfigService config;
  private final Fleet fleet;
  private final CallersApi api;
  private final JsonServer callers;
  private final JsonServer operators;
  private volatile boolean stopping;

  private Entry(Settings settings, Consumer<JsonServer> moreRoutes) throws Exception {
    this.settings = settings;
    process = value(EntrySettings.NAME) + "-" + UUID.randomUUID().toString().substring(0, 8);
    tls = Tls.fromSettings(settings, log);
    timers.setRemoveOnCancelPolicy(true);
    http.start();
    wire =
        WireClient.start(
            value(EntrySettings.CONNECT_TIMEOUT),
            value(EntrySettings.FRAME_LIMIT),
            tls.isPresent() ? tls.get().client() : null);
    self = new ConfigMember(value(EntrySettings.NAME), value(EntrySettings.REGION));
    config = ConfigService.start(self, true, store(), random, wall, log);
    config.knownEntries(List.of(self));
    fleet =
        new Fleet(
            config,
            process,
            Map.of("region", value(EntrySettings.REGION), "zone", value(EntrySettings.ZONE)),
            this::agentPeers);
    agents = directory();
    api = callersApi();
    callers =
        api.addTo(
            server(
                address(EntrySettings.CALLERS_ADDRESS, EntrySettings.CALLERS_PORT),
                value(EntrySettings.BODY_LIMIT)));
    operators =
        OperatorsPort.addRoutes(
            server(
                address(EntrySettings.OPERATORS_ADDRESS, EntrySettings.OPERATORS_PORT),
                OPERATORS_BODY_LIMIT),
            metrics.registry(),
            this::ready,
            this::status);
    AdminApi.of(config, fleet.exchange(), value(AdminToken.SETTING), wall, log)
        .addRoutes(operators);
    moreRoutes.accept(operators);
    metrics.gauge("requests_in_flight", "Requests that aren't fully answered.", api::inFlight);
    metrics.gauge("agents_connected", "Agents that are connected.", this::connected);
  }

  /**
   * Starts an entry.
   *
   * @param moreRoutes adds further routes to the operators' port before it starts
   */
  static Entry start(Settings settings, Consumer<JsonServer> moreRoutes) throws Exception {
    Entry entry = new Entry(settings, moreRoutes);
    entry.startHeartbeats();
    entry.startHostList();
    entry.operators.start("operators");
    entry.callers.start("callers");
    entry.log.event(RuntimeEvent.STARTED).with("process", entry.process).write();
    return entry;
  }

  private <T> T value(Setting<T> setting) {
    return settings.value(setting);
  }

  private InetSocketAddress address(Setting<String> host, Setting<Integer> port) {
    return new InetSocketAddress(InetAddresses.forString(value(host)), value(port));
  }

  private JsonServer server(InetSocketAddress address, int bodyLimit) throws IOException {
    return tls.isPresent()
        ? JsonServer.withTls(address, bodyLimit, tls.get().server(false), log)
        : JsonServer.of(address, bodyLimit, log);
  }

  private KeyValueStore store() {
    String url = value(EntrySettings.STORE_URL);
    return url.isEmpty()
        ? new NoStore()
        : HttpKeyValueStore.of(http, URI.create(url), value(EntrySettings.STORE_TIMEOUT));
  }

  /** Returns the configuration in force; version 0 stands for none. */
  private Optional<ConfigDocument> document() {
    return config.version() > 0 ? Optional.of(config.current()) : Optional.empty();
  }

  private List<AgentPeer> agentPeers() {
    return agents.peers();
  }

  private AgentDirectory directory() {
    LinkContext context =
        new LinkContext(wire, this::hello, config::version, clock, fleet, metrics, log);
    Duration ping = value(EntrySettings.PING);
    Duration dead = value(EntrySettings.DEAD);
    MembershipSettings times =
        new MembershipSettings(
            ping, dead.minus(ping), value(EntrySettings.FIRST_REDIAL), MAX_REDIAL);
    return new AgentDirectory(
        value(EntrySettings.AGENTS).stream().map(Entry::staticAgent).toList(),
        new AgentDirectory.Settings(ping, value(EntrySettings.IDLE_PING), dead),
        this::document,
        context,
        Membership.create(times, random),
        this::poolRouter);
  }

  private PoolRouter poolRouter(String pool) {
    Place here = new Place(value(EntrySettings.ZONE), value(EntrySettings.REGION));
    return new PoolRouter(
        Router.create(pool, RouterSettings.defaults(), here, process, random), clock);
  }

  /** Reads an agent of the settings, {@code IP:PORT} or {@code NAME@IP:PORT}. */
  private static AgentProposal staticAgent(String text) {
    int at = text.indexOf('@');
    HostAndPort address = HostAndPort.fromString(text.substring(at + 1));
    return new AgentProposal(
        at < 0 ? text : text.substring(0, at),
        new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort()),
        "",
        "",
        "",
        false);
  }

  private CallersApi callersApi() {
    CallRouter router = new CallRouter(agents, value(EntrySettings.LOG_SAMPLING), random, log);
    RetryBudgetSettings defaults = RetryBudgetSettings.defaults();
    RetryBudgetSettings retries =
        new RetryBudgetSettings(
            value(EntrySettings.RETRY_RATIO),
            value(EntrySettings.RETRY_RATE),
            value(EntrySettings.RETRY_BURST),
            value(EntrySettings.RETRY_RATE) / 4,
            value(EntrySettings.RETRY_BURST) * 0.4,
            defaults.hedgeRatio(),
            defaults.hedgeMinPerSecond(),
            defaults.hedgeBurst());
    RunContext context =
        new RunContext(
            router,
            agents,
            new StagePlanner(),
            new RetryBudgets(RetryBudget.create(retries), clock),
            timers,
            clock,
            () -> IdempotencyKey.generate(wall.instant(), random).text(),
            random,
            new RequestPlan.Timing(
                new Backoff(value(EntrySettings.FIRST_BACKOFF), value(EntrySettings.MAX_BACKOFF)),
                value(EntrySettings.NO_UPSTREAM_WAIT)),
            value(EntrySettings.STREAM_CREDITS),
            metrics,
            log);
    RequestTable streams =
        new RequestTable(
            timers, value(EntrySettings.STREAM_KEEP), value(EntrySettings.STREAM_KEPT_TOKENS));
    return new CallersApi(
        this::document,
        new RequestParser(value(EntrySettings.MAX_DEADLINE)),
        context,
        streams,
        new Settler(agents, timers, value(EntrySettings.SETTLE_TIMEOUT)),
        new CallersApi.Limits(
            value(EntrySettings.MAX_REQUESTS), value(EntrySettings.STREAM_GRACE)));
  }

  private void startHeartbeats() {
    every(TICK, agents::tick);
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
            this::entriesListed,
            log);
    every(value(EntrySettings.HOST_LIST_POLL), poller::poll);
  }

  /** Takes the listed entries; this one counts as known, whatever the list says. */
  private void entriesListed(List<ConfigMember> listed) {
    Set<ConfigMember> known = new HashSet<>(listed);
    known.add(self);
    config.knownEntries(known);
  }

  private void every(Duration period, Runnable task) {
    Runnable guarded =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            log.event(RuntimeEvent.HANDLER_FAILED).cause(e).write();
          }
        };
    timers.scheduleWithFixedDelay(guarded, 0, period.toNanos(), TimeUnit.NANOSECONDS);
  }

  private Message.Hello hello() {
    return new Message.Hello(
        Message.PROTOCOL_VERSION,
        process,
        "entry",
        "",
        value(EntrySettings.ZONE),
        value(EntrySettings.REGION),
        config.version(),
        Map.of(),
        Message.Load.NONE);
  }

  private boolean ready() {
    return !stopping && config.version() > 0;
  }

  private int connected() {
    return (int) agents.links().stream().filter(link -> link.peer().isPresent()).count();
  }

  private Map<String, Object> status() {
    return Map.of(
        "process",
        process,
        "role",
        "entry",
        "zone",
        value(EntrySettings.ZONE),
        "region",
        value(EntrySettings.REGION),
        "config_version",
        config.version(),
        "state",
        stopping ? "stopping" : ready() ? "ready" : "waiting for a configuration",
        "requests_in_flight",
        api.inFlight(),
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
                    "in_flight", link.inFlight()))
        .orElse(Map.of("address", address, "connected", false));
  }

  /** Returns the bound address of the callers' API. */
  InetSocketAddress callersAddress() {
    return callers.address();
  }

  /** Returns the bound address of the operators' port. */
  InetSocketAddress operatorsAddress() {
    return operators.address();
  }

  /** Returns the number of requests that aren't fully answered. */
  int inFlight() {
    return api.inFlight();
  }

  @Override
  public void close() throws Exception {
    if (stopping) {
      return;
    }
    stopping = true;
    api.stop();
    log.event(RuntimeEvent.STOPPING).with("in_flight", api.inFlight()).write();
    awaitRequests();
    callers.close();
    timers.shutdownNow();
    agents.close();
    config.close();
    tls.ifPresent(Tls::close);
    wire.close();
    http.stop();
    operators.close();
    log.event(RuntimeEvent.STOPPED).write();
  }

  private void awaitRequests() throws InterruptedException {
    long end = System.nanoTime() + value(EntrySettings.STOP_TIMEOUT).toNanos();
    while (api.inFlight() > 0) {
      if (System.nanoTime() > end) {
        log.event(EntryEvent.STOP_TIMED_OUT).with("in_flight", api.inFlight()).write();
        return;
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }
}
