package org.oriolewell.agent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigMember;
import org.oriolewell.core.config.UpstreamSpec;
import org.oriolewell.core.config.language.Subject;
import org.oriolewell.core.drain.DrainSettings;
import org.oriolewell.runtime.admin.QueryResponder;
import org.oriolewell.runtime.config.ConfigService;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.http.OperatorsPort;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;
import org.oriolewell.runtime.platform.HttpKeyValueStore;
import org.oriolewell.runtime.platform.KeyValueStore;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.tls.Tls;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireClient;
import org.oriolewell.runtime.wire.WireServer;

/**
 * A running agent: accepts calls from entries on the wire port, sends them to its upstream, and
 * serves the operators' port. Closing it is a planned stop that finishes the calls in flight.
 */
public final class Agent implements AutoCloseable {
  private static final int MAX_OPERATORS_BODY_BYTES = 64 << 10;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration FINAL_ANSWERS_TIME = Duration.ofMillis(100);

  private final Settings settings;
  private final EventLog log;
  private final Loop loop;
  private final HttpClient httpClient;
  private final AgentContext context;
  private final @Nullable Tls tls;
  private final WireServer wireServer;
  private final JsonServer operatorsServer;
  private final SharedAdmission admission;
  private final Service service = new Service();
  private final WireClient probeClient;
  private final ShardedCalls nonIdempotentCalls;
  private final DrainControl drainControl;
  private final HttpClient orderHttpClient;
  private final @Nullable EngineOrders engineOrders;
  private final QueryResponder queryResponder = QueryResponder.of(this::queryRows);
  private final Set<Dialer> dialers = new LinkedHashSet<>();

  private Agent(Settings settings, InstantSource clock) {
    this.settings = settings;
    log = EventLog.of("agent", clock);
    tls = readTls(settings, log);
    loop = Loop.start(log);
    httpClient = HttpClients.start(settings.value(AgentSettings.UPSTREAM_CONNECT_TIMEOUT));
    KeyValueStore store =
        HttpKeyValueStore.of(
            httpClient,
            URI.create(settings.value(AgentSettings.STORE_URL)),
            settings.value(AgentSettings.STORE_TIMEOUT));
    SecureRandom random = new SecureRandom();
    AgentIdentity identity = AgentIdentity.of(settings, random);
    ConfigService configService =
        ConfigService.start(
            new ConfigMember(identity.host(), identity.region()), false, store, random, clock, log);
    final ConfigFeed config = new DistributedConfig(configService, loop);
    admission = createAdmission();
    context =
        new AgentContext(
            identity,
            clock,
            loop,
            log,
            new AgentMetrics(),
            admission,
            createUpstream(status -> config.notExecuted(identity.pool(), status)),
            config,
            settings.value(AgentSettings.MAX_FRAME_BYTES));
    probeClient =
        WireClient.start(
            settings.value(AgentSettings.OWNER_PROBE_TIMEOUT),
            context.maxFrameBytes(),
            tls == null ? null : clientTls(tls));
    nonIdempotentCalls =
        new ShardedCalls(
            context,
            new ShardStore(store, context.metrics(), log),
            AgentSettings.shardSettings(settings),
            this::wireAddressText,
            () ->
                new OwnerProbe(
                    probeClient,
                    settings.value(AgentSettings.OWNER_PROBE_TIMEOUT),
                    service.hello()));
    drainControl =
        new DrainControl(
            context,
            new DrainSettings(
                settings.value(AgentSettings.STOP_TIMEOUT),
                settings.value(AgentSettings.SHARD_RELEASE_TIMEOUT)),
            nonIdempotentCalls,
            this::openCallCount);
    orderHttpClient =
        HttpClients.startSingleConnection(settings.value(AgentSettings.UPSTREAM_CONNECT_TIMEOUT));
    engineOrders =
        settings.value(AgentSettings.UPSTREAM_KIND).equals("engine")
            ? new EngineOrders(
                context,
                new EngineClient(
                    orderHttpClient,
                    URI.create(settings.value(AgentSettings.UPSTREAM_URL)),
                    ORDER_TIMEOUT),
                store)
            : null;
    wireServer =
        WireServer.of(
            new InetSocketAddress(
                settings.value(AgentSettings.WIRE_ADDRESS),
                settings.value(AgentSettings.WIRE_PORT)),
            () -> new Dialer(context, service),
            context.maxFrameBytes(),
            tls == null ? null : serverTls(tls),
            log);
    operatorsServer =
        OperatorsPort.addRoutes(
            JsonServer.of(
                new InetSocketAddress(
                    settings.value(AgentSettings.OPERATORS_ADDRESS),
                    settings.value(AgentSettings.OPERATORS_PORT)),
                MAX_OPERATORS_BODY_BYTES,
                log),
            context.metrics().registry(),
            drainControl::accepting,
            () -> loop.callAndWait(this::status));
    context.metrics().addLoadGauges(() -> loop.callAndWait(service::load));
  }

  private static @Nullable Tls readTls(Settings settings, EventLog log) {
    try {
      return Tls.fromSettings(settings, log).orElse(null);
    } catch (IOException e) {
      throw new IllegalStateException("the TLS files cannot be used: " + e.getMessage(), e);
    }
  }

  private static SslContextFactory.Client clientTls(Tls tls) {
    try {
      return tls.client();
    } catch (IOException e) {
      throw new IllegalStateException("the TLS files cannot be used: " + e.getMessage(), e);
    }
  }

  /**
   * Requires a client certificate, so that a process without a valid one can't call the upstream.
   */
  private static SslContextFactory.Server serverTls(Tls tls) {
    try {
      return tls.server(true);
    } catch (IOException e) {
      throw new IllegalStateException("the TLS files cannot be used: " + e.getMessage(), e);
    }
  }

  /**
   * Starts an agent.
   *
   * @param clock wall clock
   * @throws IllegalStateException if a port can't be bound
   */
  public static Agent start(Settings settings, InstantSource clock) {
    Agent agent = new Agent(settings, clock);
    agent.operatorsServer.start("operators");
    agent.wireServer.start("wire");
    agent.loop.runEvery(
        settings.value(AgentSettings.HEARTBEAT_INTERVAL),
        () ->
            Set.copyOf(agent.dialers)
                .forEach(
                    dialer ->
                        dialer.checkLiveness(
                            settings.value(AgentSettings.HEARTBEAT_INTERVAL),
                            settings.value(AgentSettings.DIALER_TIMEOUT))));
    agent.loop.runEvery(TICK_INTERVAL, agent::tick);
    agent.context.config().onChange(agent::applyConfiguration);
    agent
        .log
        .event(RuntimeEvent.STARTED)
        .with("process", agent.context.identity().process())
        .write();
    return agent;
  }

  private SharedAdmission createAdmission() {
    int initialConcurrency = settings.value(AgentSettings.INITIAL_CONCURRENCY);
    return new SharedAdmission(
        Math.min(initialConcurrency, settings.value(AgentSettings.MIN_CONCURRENCY)),
        initialConcurrency,
        Math.max(initialConcurrency, settings.value(AgentSettings.MAX_CONCURRENCY)),
        settings.value(AgentSettings.MAX_QUEUED_CALLS),
        System::nanoTime);
  }

  private void applyConfiguration(ConfigDocument document) {
    admission.applyConfiguration(document);
    UpstreamSpec upstreamSpec = document.upstreams().get(context.identity().host());
    drainControl.applyConfiguration(upstreamSpec != null && upstreamSpec.draining());
    if (engineOrders != null) {
      engineOrders.applyConfiguration(document);
    }
  }

  private Upstream createUpstream(IntPredicate notExecuted) {
    URI upstreamUrl = URI.create(settings.value(AgentSettings.UPSTREAM_URL));
    Duration timeout = settings.value(AgentSettings.UPSTREAM_TIMEOUT);
    int maxOutputBytes =
        settings.value(AgentSettings.MAX_FRAME_BYTES) - Dialer.FRAME_OVERHEAD_BYTES;
    return switch (settings.value(AgentSettings.UPSTREAM_KIND)) {
      case "engine" ->
          new EngineUpstream(
              httpClient,
              upstreamUrl,
              timeout,
              settings.value(AgentSettings.DEFAULT_MAX_TOKENS),
              notExecuted,
              maxOutputBytes,
              log);
      case "service" ->
          JsonUpstream.service(httpClient, upstreamUrl, timeout, notExecuted, maxOutputBytes);
      default ->
          JsonUpstream.stagePool(httpClient, upstreamUrl, timeout, notExecuted, maxOutputBytes);
    };
  }

  private void tick() {
    admission.tick();
    context.config().tick(context.clock().instant());
    nonIdempotentCalls.tick();
    drainControl.tick();
    if (engineOrders != null) {
      engineOrders.tick();
    }
  }

  private String wireAddressText() {
    return settings.value(AgentSettings.WIRE_ADDRESS) + ":" + wireAddress().getPort();
  }

  /** Returns the address that the wire port is bound to. */
  public InetSocketAddress wireAddress() {
    return wireServer.address();
  }

  /** Returns the address that the operators' port is bound to. */
  public InetSocketAddress operatorsAddress() {
    return operatorsServer.address();
  }

  private Map<String, Object> status() {
    Message.Load load = service.load();
    AgentIdentity identity = context.identity();
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("process", identity.process());
    status.put("role", "agent");
    status.put("host", identity.host());
    status.put("firm", identity.firm());
    status.put("pool", identity.pool());
    status.put("zone", identity.zone());
    status.put("region", identity.region());
    status.put("config_version", context.config().current().version());
    status.put("draining", load.draining());
    status.put("drain_state", drainControl.state());
    status.put("in_flight", load.inFlight());
    status.put("queued", load.queued());
    status.put("limit", load.limit());
    status.put("queue_delay_micros", load.queueDelayMicros());
    status.put("connections", dialers.size());
    status.put("shards", nonIdempotentCalls.ownedShards());
    status.put("orders", engineOrders == null ? "none" : engineOrders.state());
    return status;
  }

  /** Returns this agent's rows of the queries {@code show upstreams} and {@code show versions}. */
  private List<Map<String, Object>> queryRows(Subject subject) {
    Map<String, Object> status = status();
    if (subject == Subject.VERSIONS) {
      status.put("version", status.get("config_version"));
      return List.of(status);
    }
    if (subject != Subject.UPSTREAMS) {
      return List.of();
    }
    status.put("role", engineRole());
    status.put("queue_delay_ms", service.load().queueDelayMicros() / 1000);
    return List.of(status);
  }

  private String engineRole() {
    return engineOrders == null ? "" : engineOrders.role();
  }

  private int openCallCount() {
    return dialers.stream().mapToInt(Dialer::callCount).sum();
  }

  @Override
  public void close() {
    log.event(RuntimeEvent.STOPPING).write();
    loop.execute(drainControl::stop);
    awaitExit();
    wireServer.close();
    operatorsServer.close();
    probeClient.close();
    context.config().close();
    loop.close();
    HttpClients.stop(orderHttpClient);
    HttpClients.stop(httpClient);
    if (tls != null) {
      tls.close();
    }
    log.event(RuntimeEvent.STOPPED).write();
  }

  /**
   * Waits until the drain's state machine permits the exit, at most for the drain's time limits.
   */
  private void awaitExit() {
    try {
      drainControl.exit().await();
      // Lets the last answers reach the network, and still refuses late calls as not run.
      TimeUnit.MILLISECONDS.sleep(FINAL_ANSWERS_TIME.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private final class Service implements AgentService {
    @Override
    public void connectionOpened(Dialer dialer) {
      dialers.add(dialer);
    }

    @Override
    public void connectionClosed(Dialer dialer) {
      dialers.remove(dialer);
    }

    @Override
    public void callEnded() {
      drainControl.callEnded();
    }

    @Override
    public boolean draining() {
      return !drainControl.accepting();
    }

    @Override
    public Message.Load load() {
      return context.admission().load(!drainControl.accepting());
    }

    @Override
    public Message.Hello hello() {
      AgentIdentity identity = context.identity();
      return new Message.Hello(
          Message.PROTOCOL_VERSION,
          identity.process(),
          "agent",
          identity.pool(),
          identity.zone(),
          identity.region(),
          context.config().current().version(),
          nonIdempotentCalls.ownedShards(),
          load());
    }

    @Override
    public Message.Pong pong(Message.Ping ping) {
      return new Message.Pong(
          ping.sequence(),
          context.config().current().version(),
          load(),
          nonIdempotentCalls.ownedShards());
    }

    @Override
    public NonIdempotentCalls nonIdempotentCalls() {
      return nonIdempotentCalls;
    }

    @Override
    public byte[] answerQuery(byte[] query) {
      return queryResponder.answer(query);
    }
  }
}
