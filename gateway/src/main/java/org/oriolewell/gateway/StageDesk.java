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
 * Hands stages to their dispatchers and runs the dispatchers that fall to this node. One node
 * dispatches a service in a region, so that the pieces of all nodes share full calls. Work whose
 * dispatcher is lost is handed to the next one; a piece may be produced twice.
 *
 * <p>Used on the event loop only.
 */
final class StageDesk implements PeerMesh.Handler {
  /** Interval of the checks for overdue calls; short against the fixed time of a call, 150 ms. */
  private static final Duration TICK = Duration.ofMillis(25);

  /** Load reports are repeated at this interval when nothing has changed. */
  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

  /** Ticks between reports to other regions, since each byte there is paid for. */
  private static final int REMOTE_REPORT_TICKS = 8;

  /** Ticks between reports within a region. */
  private static final int REPORT_TICKS = 2;

  /** Expected time of a stage of which no load is known yet. */
  private static final double UNKNOWN_LOAD_MILLIS = 400;

  private static final String LOCAL_ORIGIN = "local";
  private static final PieceOutcome.Status[] STATUSES = PieceOutcome.Status.values();

  /** Identifies the dispatcher of a service in a region. */
  private record Place(String service, String region) {}

  private static final class Ticket {
    private final StageWork work;
    private final String region;
    private final Consumer<PieceOutcome> listener;
    private final Set<Integer> open;
    private String dispatcher = "";

    private Ticket(StageWork work, String region, Consumer<PieceOutcome> listener) {
      this.work = work;
      this.region = region;
      this.listener = listener;
      this.open = new TreeSet<>(work.pieces());
    }
  }

  private record Reported(StageLoad load, long at) {}

  private final EventLoop loop;
  private final ControlPlane control;
  private final UpstreamClient client;
  private final StageDialect dialect;
  private final EventLog log;
  private final Regions regions;
  private final Map<Place, StageDispatcher> dispatchers = new HashMap<>();
  private final Map<Long, Ticket> tickets = new HashMap<>();
  private final Map<Place, StageLoad> loads = new HashMap<>();
  private final Map<Place, Reported> reported = new HashMap<>();
  private final Map<String, WireConnection> origins = new HashMap<>();
  private @Nullable PeerMesh mesh;
  private long nextTicket = 1;
  private long ticks;

  StageDesk(
      EventLoop loop,
      ControlPlane control,
      UpstreamClient client,
      StageDialect dialect,
      Regions regions,
      EventLog log) {
    this.loop = loop;
    this.control = control;
    this.client = client;
    this.dialect = dialect;
    this.regions = regions;
    this.log = log;
  }

  /** Sets the connections to the other nodes and begins to work. */
  void start(PeerMesh peerMesh) {
    mesh = peerMesh;
    loop.every(TICK, this::tick);
  }

  private PeerMesh mesh() {
    PeerMesh started = mesh;
    if (started == null) {
      throw new IllegalStateException("start() has not been called");
    }
    return started;
  }

  /**
   * Returns the expected time of a stage in a region.
   *
   * @param rank urgency of the request
   * @param offsetMillis time from now until the stage is handed over
   */
  double expectedMillis(String service, String region, int rank, double offsetMillis) {
    StageLoad load = loads.get(new Place(service, region));
    return load == null ? UNKNOWN_LOAD_MILLIS : load.expectedMillis(rank, offsetMillis);
  }

  /** Returns a number for {@link #submit}. */
  long newTicket() {
    return nextTicket++;
  }

  /**
   * Tells a dispatcher of a stage that will be handed over when its inputs are made.
   *
   * @return the ticket under which it will be handed over
   */
  long announce(StageSpec stage, String region, int rank, StageProgress progress) {
    long ticket = newTicket();
    int pieces = progress.missingPieces(stage.index()).size();
    String owner = mesh().dispatcher(stage.service(), region);
    if (owner.equals(control.self().name())) {
      StageDispatcher local = dispatcher(new Place(stage.service(), region));
      if (local != null) {
        local.announce(LOCAL_ORIGIN, ticket, rank, stage.resultBytes(), pieces);
      }
    } else {
      mesh()
          .send(
              owner,
              new Message.StageAnnounce(
                  ticket, stage.service(), region, rank, stage.resultBytes(), pieces));
    }
    return ticket;
  }

  /** Withdraws a stage that was announced and is not handed over. */
  void withdraw(long ticket, String service, String region) {
    String owner = mesh().dispatcher(service, region);
    if (owner.equals(control.self().name())) {
      StageDispatcher local = dispatchers.get(new Place(service, region));
      if (local != null) {
        local.cancel(LOCAL_ORIGIN, ticket);
      }
    } else {
      mesh().send(owner, new Message.StageCancel(ticket, service, region));
    }
  }

  /**
   * Hands over a stage of a request.
   *
   * @param number ticket of {@link #newTicket} or {@link #announce}
   * @param work the work; its ticket and origin are set here
   * @param listener hears of each piece once
   * @return the ticket, for {@link #cancel}
   */
  long submit(long number, StageWork work, String region, Consumer<PieceOutcome> listener) {
    StageWork own =
        new StageWork(
            number,
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
    Ticket ticket = new Ticket(own, region, listener);
    tickets.put(number, ticket);
    hand(ticket);
    return number;
  }

  private void hand(Ticket ticket) {
    StageWork work = ticket.work;
    ticket.dispatcher = mesh().dispatcher(work.service(), ticket.region);
    if (ticket.dispatcher.equals(control.self().name())) {
      StageDispatcher local = dispatcher(new Place(work.service(), ticket.region));
      if (local != null) {
        local.submit(work);
      } else {
        failLater(ticket);
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
            ticket.region,
            work.zone(),
            work.rank(),
            Duration.ofNanos(work.latestStart() - now).toMillis(),
            Duration.ofNanos(work.deadline() - now).toMillis(),
            work.resultBytes(),
            List.copyOf(ticket.open),
            work.key(),
            work.inputs());
    // If the connection is just being lost, onPeersChanged hands the work to the next dispatcher.
    mesh().send(ticket.dispatcher, message);
  }

  /**
   * Fails work of a service that this node doesn't know; its owner has to learn the ticket first.
   */
  private void failLater(Ticket ticket) {
    loop.execute(
        () -> {
          for (int piece : List.copyOf(ticket.open)) {
            received(ticket.work.ticket(), PieceOutcome.failed(piece, PieceOutcome.Status.FAILED));
          }
        });
  }

  /** Withdraws work. */
  void cancel(long number) {
    Ticket ticket = tickets.remove(number);
    if (ticket == null) {
      return;
    }
    if (ticket.dispatcher.equals(control.self().name())) {
      StageDispatcher local = dispatchers.get(new Place(ticket.work.service(), ticket.region));
      if (local != null) {
        local.cancel(LOCAL_ORIGIN, number);
      }
    } else {
      mesh()
          .send(
              ticket.dispatcher,
              new Message.StageCancel(number, ticket.work.service(), ticket.region));
    }
  }

  /** Returns the availability zone of the upstream that made a result; empty if it is gone. */
  String makerZone(String service, String handle) {
    String address = dialect.producerAddress(handle);
    return control.roster().usable(service).stream()
        .filter(upstream -> upstream.address().equals(address))
        .findFirst()
        .map(UpstreamInstance::zone)
        .orElse("");
  }

  /** Frees results of a service. */
  void release(String service, String region, List<String> handles) {
    if (handles.isEmpty()) {
      return;
    }
    String owner = mesh().dispatcher(service, region);
    if (owner.equals(control.self().name())) {
      StageDispatcher local = dispatcher(new Place(service, region));
      if (local != null) {
        local.release(handles);
      }
    } else {
      mesh().send(owner, new Message.StageRelease(service, region, handles));
    }
  }

  private @Nullable StageDispatcher dispatcher(Place place) {
    StageDispatcher known = dispatchers.get(place);
    if (known != null) {
      return known;
    }
    Optional<StageService> capacity = capacity(place.service());
    if (capacity.isEmpty()) {
      return null;
    }
    StageDispatcher created =
        new StageDispatcher(
            loop, client, dialect, log, place.service(), capacity.get(), this::report);
    dispatchers.put(place, created);
    created.upstreams(upstreams(place));
    return created;
  }

  private Optional<StageService> capacity(String service) {
    RouteTable table = control.table();
    return table == null ? Optional.empty() : table.service(service).map(ServiceSpec::stages);
  }

  private Collection<UpstreamInstance> upstreams(Place place) {
    return control.roster().usable(place.service()).stream()
        .filter(upstream -> regions.of(upstream.zone()).equals(place.region()))
        .toList();
  }

  /** Follows a change of the configuration or of the upstreams. */
  void changed() {
    dispatchers.forEach((place, dispatcher) -> dispatcher.upstreams(upstreams(place)));
  }

  private void report(StageWork work, List<PieceOutcome> outcomes) {
    if (work.origin().equals(LOCAL_ORIGIN)) {
      outcomes.forEach(outcome -> received(work.ticket(), outcome));
      return;
    }
    WireConnection connection = origins.get(work.origin());
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

  private void received(long number, PieceOutcome outcome) {
    Ticket ticket = tickets.get(number);
    if (ticket == null || !ticket.open.remove(outcome.piece())) {
      return;
    }
    if (ticket.open.isEmpty()) {
      tickets.remove(number);
    }
    ticket.listener.accept(outcome);
  }

  @Override
  public void onRequest(String origin, WireConnection connection, Message message) {
    origins.put(origin, connection);
    if (message instanceof Message.StageSubmit submit) {
      StageDispatcher dispatcher = dispatcher(new Place(submit.service(), submit.region()));
      if (dispatcher != null) {
        dispatcher.submit(work(origin, submit));
      } else {
        refuse(connection, submit);
      }
    } else if (message instanceof Message.StageAnnounce announce) {
      StageDispatcher dispatcher = dispatcher(new Place(announce.service(), announce.region()));
      if (dispatcher != null) {
        dispatcher.announce(
            origin, announce.ticket(), announce.rank(), announce.resultBytes(), announce.pieces());
      }
    } else if (message instanceof Message.StageCancel cancel) {
      StageDispatcher dispatcher = dispatchers.get(new Place(cancel.service(), cancel.region()));
      if (dispatcher != null) {
        dispatcher.cancel(origin, cancel.ticket());
      }
    } else if (message instanceof Message.StageRelease release) {
      StageDispatcher dispatcher = dispatcher(new Place(release.service(), release.region()));
      if (dispatcher != null) {
        dispatcher.release(release.handles());
      }
    }
  }

  /** Fails work of a service that this node doesn't know, so that its request isn't held. */
  private void refuse(WireConnection connection, Message.StageSubmit submit) {
    int failed = PieceOutcome.Status.FAILED.ordinal();
    connection.send(
        new Message.StageResults(
            submit.ticket(),
            submit.service(),
            submit.pieces(),
            Collections.nCopies(submit.pieces().size(), failed),
            Collections.nCopies(submit.pieces().size(), "")));
    log.event(GatewayEvent.STAGE_REFUSED)
        .with("request", submit.requestId())
        .with("service", submit.service())
        .with("reason", "the configuration here has no such service")
        .write();
  }

  private StageWork work(String origin, Message.StageSubmit submit) {
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
    origins.remove(origin);
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
        received(results.ticket(), outcome);
      }
    } else if (message instanceof Message.StageLoadReport load) {
      loads.put(new Place(load.service(), load.region()), decode(load));
    }
  }

  private static StageLoad decode(Message.StageLoadReport report) {
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
    for (Ticket ticket : List.copyOf(tickets.values())) {
      if (!mesh().reachable(ticket.dispatcher)) {
        hand(ticket);
      }
    }
  }

  private void tick() {
    dispatchers.values().forEach(StageDispatcher::tick);
    ticks++;
    RouteTable table = control.table();
    if (table == null || ticks % REPORT_TICKS != 0) {
      return;
    }
    for (ServiceSpec service : table.services()) {
      for (String region : regions.all()) {
        if (service.stages() != null
            && mesh().dispatcher(service.name(), region).equals(control.self().name())) {
          publish(new Place(service.name(), region), ticks % REMOTE_REPORT_TICKS == 0);
        }
      }
    }
  }

  private void publish(Place place, boolean otherRegions) {
    StageDispatcher dispatcher = dispatcher(place);
    if (dispatcher == null) {
      return;
    }
    StageLoad load = dispatcher.load();
    loads.put(place, load);
    Reported last = reported.get(place);
    boolean due =
        last == null
            || !last.load().equals(load)
            || loop.now() - last.at() > REPORT_INTERVAL.toNanos();
    if (due) {
      reported.put(place, new Reported(load, loop.now()));
      mesh().broadcast(encode(place, load), otherRegions);
    }
  }

  private static Message encode(Place place, StageLoad load) {
    List<Integer> ranks = new ArrayList<>();
    List<Integer> calls = new ArrayList<>();
    List<Integer> announced = new ArrayList<>();
    for (StageLoad.Queued queued : load.queued()) {
      ranks.add(queued.rank());
      calls.add((int) Math.min(Integer.MAX_VALUE, queued.calls() * 1000));
      announced.add((int) Math.min(Integer.MAX_VALUE, queued.announced() * 1000));
    }
    return new Message.StageLoadReport(
        place.service(),
        place.region(),
        load.upstreams(),
        load.callMillis(),
        load.residualMillis(),
        ranks,
        calls,
        announced);
  }

  /** Returns whether no dispatcher of this node has work. */
  boolean idle() {
    return dispatchers.values().stream().allMatch(StageDispatcher::idle);
  }
}
