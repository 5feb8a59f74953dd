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
 * A running agent: the wire port for entries, the operators' port, and the upstream beside it.
 * Closing it is a planned stop that finishes the calls in flight.
 */
public final class Agent implements AutoCloseable {
  private static final int OPERATORS_BODY_BYTES = 64 << 10;
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration LINGER = Duration.ofMillis(100);

  private final Settings settings;
  private final EventLog log;
  private final Loop loop;
  private final HttpClient http;
  private final AgentContext context;
  private final @Nullable Tls tls;
  private final WireServer wire;
  private final JsonServer operators;
  private final SharedAdmission admission;
  private final Service service = new Service();
  private final WireClient probes;
  private final Shards nonIdempotent;
  private final DrainControl drain;
  private final HttpClient orderHttp;
  private final @Nullable EngineOrders orders;
  private final QueryResponder responder = QueryResponder.of(this::rows);
  private final Set<Dialer> dialers = new LinkedHashSet<>();

  private Agent(Settings settings, InstantSource clock) {
    this.settings = settings;
    log = EventLog.of("agent", clock);
    tls = readTls(settings, log);
    loop = Loop.start(log);
    http = HttpClients.start(settings.value(AgentSettings.UPSTREAM_CONNECT_TIMEOUT));
    KeyValueStore store =
        HttpKeyValueStore.of(
            http,
            URI.create(settings.value(AgentSettings.STORE_URL)),
            settings.value(AgentSettings.STORE_TIMEOUT));
    SecureRandom random = new SecureRandom();
    AgentIdentity identity = AgentIdentity.of(settings, random);
    ConfigService distribution =
        ConfigService.start(
            new ConfigMember(identity.host(), identity.region()), false, store, random, clock, log);
    final ConfigFeed config = new DistributedConfig(distribution, loop);
    admission = admission();
    context =
        new AgentContext(
            identity,
            clock,
            loop,
            log,
            new AgentMetrics(),
            admission,
            upstream(status -> config.notExecuted(identity.pool(), status)),
            config,
            settings.value(AgentSettings.FRAME_BYTES));
    probes =
        WireClient.start(
            settings.value(AgentSettings.PROBE_TIMEOUT),
            context.maxFrameBytes(),
            tls == null ? null : clientTls(tls));
    nonIdempotent =
        new Shards(
            context,
            new ShardStore(store, context.metrics(), log),
            AgentSettings.shardSettings(settings),
            this::address,
            () ->
                new OwnerProbe(
                    probes, settings.value(AgentSettings.PROBE_TIMEOUT), service.hello()));
    drain =
        new DrainControl(
            context,
            new DrainSettings(
                settings.value(AgentSettings.STOP_MAX), settings.value(AgentSettings.RELEASE_MAX)),
            nonIdempotent,
            this::openCalls);
    orderHttp = HttpClients.startSingle(settings.value(AgentSettings.UPSTREAM_CONNECT_TIMEOUT));
    orders =
        settings.value(AgentSettings.UPSTREAM_KIND).equals("engine")
            ? new EngineOrders(
                context,
                new EngineClient(
                    orderHttp,
                    URI.create(settings.value(AgentSettings.UPSTREAM_URL)),
                    ORDER_TIMEOUT),
                store)
            : null;
    wire =
        WireServer.of(
            new InetSocketAddress(
                settings.value(AgentSettings.WIRE_ADDRESS),
                settings.value(AgentSettings.WIRE_PORT)),
            () -> new Dialer(context, service),
            context.maxFrameBytes(),
            tls == null ? null : serverTls(tls),
            log);
    operators =
        OperatorsPort.addRoutes(
            JsonServer.of(
                new InetSocketAddress(
                    settings.value(AgentSettings.OPERATORS_ADDRESS),
                    settings.value(AgentSettings.OPERATORS_PORT)),
                OPERATORS_BODY_BYTES,
                log),
            context.metrics().registry(),
            drain::accepting,
            () -> loop.ask(this::status));
    context.metrics().watch(() -> loop.ask(service::load));
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

  /** Both sides show a certificate, so a process without a valid one can't call the upstream. */
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
   * @param clock source of the time
   * @throws IllegalStateException if a port can't be bound
   */
  public static Agent start(Settings settings, InstantSource clock) {
    Agent agent = new Agent(settings, clock);
    agent.operators.start("operators");
    agent.wire.start("wire");
    agent.loop.every(
        settings.value(AgentSettings.HEARTBEAT),
        () ->
            Set.copyOf(agent.dialers)
                .forEach(
                    dialer ->
                        dialer.checkLiveness(
                            settings.value(AgentSettings.HEARTBEAT),
                            settings.value(AgentSettings.DIALER_TIMEOUT))));
    agent.loop.every(TICK, agent::tick);
    agent.context.config().onChange(agent::configured);
    agent
        .log
        .event(RuntimeEvent.STARTED)
        .with("process", agent.context.identity().process())
        .write();
    return agent;
  }

  private SharedAdmission admission() {
    int limit = settings.value(AgentSettings.LIMIT);
    return new SharedAdmission(
        Math.min(limit, settings.value(AgentSettings.MIN_LIMIT)),
        limit,
        Math.max(limit, settings.value(AgentSettings.MAX_LIMIT)),
        settings.value(AgentSettings.QUEUE_SIZE),
        System::nanoTime);
  }

  private void configured(ConfigDocument document) {
    admission.configure(document);
    UpstreamSpec spec = document.upstreams().get(context.identity().host());
    drain.configured(spec != null && spec.draining());
    if (orders != null) {
      orders.configured(document);
    }
  }

  private Upstream upstream(IntPredicate notExecuted) {
    URI url = URI.create(settings.value(AgentSettings.UPSTREAM_URL));
    Duration timeout = settings.value(AgentSettings.UPSTREAM_TIMEOUT);
    int output = settings.value(AgentSettings.FRAME_BYTES) - Dialer.FRAME_OVERHEAD;
    return switch (settings.value(AgentSettings.UPSTREAM_KIND)) {
      case "engine" ->
          new EngineUpstream(
              http,
              url,
              timeout,
              settings.value(AgentSettings.DEFAULT_MAX_TOKENS),
              notExecuted,
              output,
              log);
      case "service" -> JsonUpstream.service(http, url, timeout, notExecuted, output);
      default -> JsonUpstream.stagePool(http, url, timeout, notExecuted, output);
    };
  }

  private void tick() {
    admission.tick();
    context.config().tick(context.clock().instant());
    nonIdempotent.tick();
    drain.tick();
    if (orders != null) {
      orders.tick();
    }
  }

  private String address() {
    return settings.value(AgentSettings.WIRE_ADDRESS) + ":" + wireAddress().getPort();
  }

  /** Returns the bound address for entries. */
  public InetSocketAddress wireAddress() {
    return wire.address();
  }

  /** Returns the bound address for operators. */
  public InetSocketAddress operatorsAddress() {
    return operators.address();
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
    status.put("drain_state", drain.state());
    status.put("in_flight", load.inFlight());
    status.put("queued", load.queued());
    status.put("limit", load.limit());
    status.put("queue_delay_micros", load.queueDelayMicros());
    status.put("connections", dialers.size());
    status.put("shards", nonIdempotent.shards());
    status.put("orders", orders == null ? "none" : orders.state());
    return status;
  }

  /** Returns what {@code show upstreams} and {@code show versions} list for this agent. */
  private List<Map<String, Object>> rows(Subject subject) {
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
    return orders == null ? "" : orders.role();
  }

  private int openCalls() {
    return dialers.stream().mapToInt(Dialer::callCount).sum();
  }

  @Override
  public void close() {
    log.event(RuntimeEvent.STOPPING).write();
    loop.execute(drain::stop);
    awaitExit();
    wire.close();
    operators.close();
    probes.close();
    context.config().close();
    loop.close();
    HttpClients.stop(orderHttp);
    HttpClients.stop(http);
    if (tls != null) {
      tls.close();
    }
    log.event(RuntimeEvent.STOPPED).write();
  }

  /** Waits until the drain's state machine ends the process; its time limits bound the wait. */
  private void awaitExit() {
    try {
      drain.exit().await();
      // Answers that were just sent reach the network, and late calls are still refused as not run.
      TimeUnit.MILLISECONDS.sleep(LINGER.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private final class Service implements AgentService {
    @Override
    public void opened(Dialer dialer) {
      dialers.add(dialer);
    }

    @Override
    public void closed(Dialer dialer) {
      dialers.remove(dialer);
    }

    @Override
    public void callEnded() {
      drain.callEnded();
    }

    @Override
    public boolean draining() {
      return !drain.accepting();
    }

    @Override
    public Message.Load load() {
      return context.admission().load(!drain.accepting());
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
          nonIdempotent.shards(),
          load());
    }

    @Override
    public Message.Pong pong(Message.Ping ping) {
      return new Message.Pong(
          ping.sequence(), context.config().current().version(), load(), nonIdempotent.shards());
    }

    @Override
    public NonIdempotentCalls nonIdempotent() {
      return nonIdempotent;
    }

    @Override
    public byte[] answer(byte[] question) {
      return responder.answer(question);
    }
  }
}
