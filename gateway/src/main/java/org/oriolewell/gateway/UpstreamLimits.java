package org.oriolewell.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.eligibility.CallScope;
import org.oriolewell.core.eligibility.ColdUpstreams;
import org.oriolewell.core.eligibility.Eligibility;
import org.oriolewell.core.eligibility.EligibilityRule;
import org.oriolewell.core.eligibility.Reason;
import org.oriolewell.core.ratelimit.NamedLimits;
import org.oriolewell.core.ratelimit.PermitIssuer;
import org.oriolewell.core.ratelimit.PermitIssuer.Permit;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.gateway.ObservationExchange.Kind;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/**
 * Keeps the requests of all gateways to an upstream within the limit that it names in its answers.
 * For each upstream one gateway issues the permits; the others ask it before they send a request. A
 * limit that a gateway learns is told to the issuer, which tells all others.
 *
 * <p>Used on the event loop only.
 */
final class UpstreamLimits implements PeerMesh.PermitListener, EligibilityRule {
  /** Time for the issuer's answer; several round trips between regions. */
  private static final Duration PERMIT_TIMEOUT = Duration.ofMillis(150);

  /** Time for which no permit is asked for after the issuer could not be reached. */
  private static final Duration UNREACHABLE_DELAY = Duration.ofMillis(500);

  /**
   * Time for which the store has confirmed the list of gateways before this one issues permits for
   * cold upstreams; gateways that start together register within it.
   */
  private static final Duration ISSUER_SETTLING_TIME = Duration.ofSeconds(4);

  /** Value of an observation of an upstream that names no limit. */
  private static final double NO_LIMIT = -1;

  /** Relative change of a limit that is told to the others, who learn smaller ones themselves. */
  private static final double TOLD_CHANGE = 0.2;

  /** A refused permit: requests of this rank or less urgent ones don't ask before a time. */
  private record Denial(int rank, long until) {}

  private final EventLoop loop;
  private final ControlPlane control;
  private final PeerMesh mesh;
  private final Regions regions;
  private final ObservationExchange exchange;
  private final EventLog log;
  private final ColdUpstreams coldUpstreams;
  private final GatewayMetrics metrics;
  private final NamedLimits limits = NamedLimits.create();
  private final PermitIssuer issuer = PermitIssuer.create();
  private final Map<String, Double> toldLimits = new HashMap<>();
  private final Map<String, Denial> denials = new HashMap<>();
  private final Map<Long, Consumer<Permit>> pendingPermits = new HashMap<>();
  private long nextPermitId;

  UpstreamLimits(
      EventLoop loop,
      ControlPlane control,
      PeerMesh mesh,
      Regions regions,
      ObservationExchange exchange,
      ColdUpstreams coldUpstreams,
      GatewayMetrics metrics,
      EventLog log) {
    this.loop = loop;
    this.control = control;
    this.mesh = mesh;
    this.regions = regions;
    this.exchange = exchange;
    this.coldUpstreams = coldUpstreams;
    this.metrics = metrics;
    this.log = log;
    mesh.permitListener(this);
    exchange.receive(Kind.UPSTREAM_LIMITED, this::onLimitReported);
    control.onChange(this::forgetUnlisted);
  }

  /** Records the limit that an answer names; empty if it names none. */
  void stated(UpstreamInstance upstream, OptionalDouble perSecond) {
    if (perSecond.isEmpty() && limits.isEmpty()) {
      return;
    }
    String key = UpstreamClient.poolKey(upstream);
    if (!limits.stated(key, perSecond, loop.now())) {
      return;
    }
    log.event(GatewayEvent.UPSTREAM_LIMITED)
        .with("upstream", upstream.id())
        .with("per_second", perSecond.isPresent() ? perSecond.getAsDouble() : null)
        .write();
    String issuerName = issuerName(upstream);
    if (control.self().name().equals(issuerName)) {
      tellAll(key);
    } else if (issuerName != null) {
      exchange.send(issuerName, Kind.UPSTREAM_LIMITED, key, perSecond.orElse(NO_LIMIT));
    }
  }

  private @Nullable String issuerName(UpstreamInstance upstream) {
    return mesh.issuerName(UpstreamClient.poolKey(upstream), regions.regionOf(upstream.zone()));
  }

  private void tellAll(String key) {
    double limit = limits.limit(key).orElse(NO_LIMIT);
    Double told = toldLimits.get(key);
    boolean changed =
        told == null || told < 0 != limit < 0 || Math.abs(limit - told) > TOLD_CHANGE * told;
    if (changed) {
      toldLimits.put(key, limit);
      exchange.publish(Kind.UPSTREAM_LIMITED, key, limit, List.of());
    }
  }

  private void onLimitReported(Message.Observation observation) {
    OptionalDouble limit =
        observation.value() < 0 ? OptionalDouble.empty() : OptionalDouble.of(observation.value());
    if (limits.stated(observation.subject(), limit, timeOf(observation.ageMillis()))) {
      find(observation.subject())
          .filter(upstream -> control.self().name().equals(issuerName(upstream)))
          .ifPresent(upstream -> tellAll(observation.subject()));
    }
  }

  private long timeOf(long ageMillis) {
    return loop.now() - Duration.ofMillis(ageMillis).toNanos();
  }

  /** Returns whether an upstream has named a limit that may still hold, or is cold. */
  @Override
  public boolean active(CallScope scope) {
    return !limits.isEmpty() || coldUpstreams.active(scope);
  }

  /** Requires a permit for a limited or cold upstream, and blocks it while none is granted. */
  @Override
  public Eligibility check(UpstreamInstance upstream, CallScope scope, long now) {
    Eligibility cold = coldUpstreams.check(upstream, scope, now);
    boolean needsColdPermit = cold instanceof Eligibility.PermitNeeded;
    if (limits.isEmpty() && !needsColdPermit) {
      return Eligibility.ALLOWED;
    }
    String key = UpstreamClient.poolKey(upstream);
    OptionalDouble limit = limits.limit(key);
    if (limit.isEmpty() && !needsColdPermit) {
      return Eligibility.ALLOWED;
    }
    Denial denial = denials.get(key);
    long deniedNanos =
        denial == null || scope.rank() < denial.rank() ? 0 : Math.max(0, denial.until() - now);
    return deniedNanos > 0
        ? new Eligibility.Blocked(
            needsColdPermit ? Reason.COLD : Reason.LIMITED, Duration.ofNanos(deniedNanos))
        : limit.isEmpty() ? cold : new Eligibility.PermitNeeded(limit.getAsDouble()).stricter(cold);
  }

  /**
   * Asks for a permit to send one request to a limited upstream.
   *
   * @param rank urgency of the request; the lowest rank is the most urgent
   * @param onAnswer called once; at once if this gateway issues the permits of the upstream
   */
  void requestPermit(UpstreamInstance upstream, int rank, Consumer<Boolean> onAnswer) {
    String key = UpstreamClient.poolKey(upstream);
    Consumer<Permit> receiver =
        permit -> {
          if (!permit.granted()) {
            denials.put(key, new Denial(rank, loop.now() + permit.retryAfter().toNanos()));
          }
          onAnswer.accept(permit.granted());
        };
    Eligibility cold = coldUpstreams.check(upstream, new CallScope(Set.of(), rank), loop.now());
    if (cold instanceof Eligibility.PermitNeeded needed) {
      double rate = Math.min(needed.perSecond(), limits.limit(key).orElse(Double.MAX_VALUE));
      requestColdPermit(upstream, rank, rate, receiver);
      return;
    }
    String issuerName = issuerName(upstream);
    double limit = limits.limit(key).orElse(Double.MAX_VALUE);
    if (control.self().name().equals(issuerName)) {
      receiver.accept(issuer.issue(key, limit, rank, loop.now()));
      return;
    }
    long id = nextPermitId++;
    long limitAge = GatewayComponents.millisBetween(limits.statedAt(key).orElse(0), loop.now());
    boolean sent =
        issuerName != null
            && mesh.send(issuerName, new Message.PermitRequest(id, key, rank, limit, limitAge));
    if (!sent) {
      receiver.accept(new Permit(false, UNREACHABLE_DELAY));
      return;
    }
    pendingPermits.put(id, receiver);
    loop.after(PERMIT_TIMEOUT, () -> endPermit(id, new Permit(false, UNREACHABLE_DELAY)));
  }

  private void requestColdPermit(
      UpstreamInstance upstream, int rank, double perSecond, Consumer<Permit> onAnswer) {
    String key = UpstreamClient.poolKey(upstream);
    String issuerName = issuerName(upstream);
    long askedAt = loop.now();
    Consumer<Permit> receiver =
        permit -> {
          // A gateway that resumes from a freeze reads permits that were granted long before.
          boolean timely = loop.now() - askedAt <= PERMIT_TIMEOUT.toNanos();
          Permit answer =
              timely || !permit.granted() ? permit : new Permit(false, Duration.ofMillis(1));
          metrics.coldPermit(answer.granted());
          onAnswer.accept(answer);
        };
    if (control.self().name().equals(issuerName)) {
      receiver.accept(issueColdPermit(key, perSecond, rank));
      return;
    }
    long id = nextPermitId++;
    boolean sent =
        issuerName != null
            && mesh.send(issuerName, new Message.ColdPermitRequest(id, key, rank, perSecond));
    if (!sent) {
      receiver.accept(new Permit(false, UNREACHABLE_DELAY));
      return;
    }
    pendingPermits.put(id, receiver);
    loop.after(PERMIT_TIMEOUT, () -> endPermit(id, new Permit(false, UNREACHABLE_DELAY)));
  }

  /**
   * Issues a permit for a cold upstream, unless another gateway may issue them as well: this one
   * must know its peers, be the issuer by its own view, and reach most of its region.
   */
  private Permit issueColdPermit(String key, double perSecond, int rank) {
    Optional<UpstreamInstance> upstream = find(key);
    if (upstream.isEmpty()
        || !control.self().name().equals(issuerName(upstream.get()))
        || !mayIssueColdPermits(regions.regionOf(upstream.get().zone()))) {
      return new Permit(false, UNREACHABLE_DELAY);
    }
    double rate =
        coldUpstreams.check(upstream.get(), new CallScope(Set.of(), rank), loop.now())
                instanceof Eligibility.PermitNeeded needed
            ? Math.min(perSecond, needed.perSecond())
            : perSecond;
    return issuer.issue(key, rate, rank, loop.now());
  }

  /** Returns whether this gateway may issue permits for cold upstreams of a region. */
  boolean mayIssueColdPermits(String region) {
    return control.peersSettled(ISSUER_SETTLING_TIME) && mesh.majorityUsable(region);
  }

  @Override
  public void onColdPermitRequest(WireConnection connection, Message.ColdPermitRequest request) {
    Permit permit = issueColdPermit(request.upstream(), request.perSecond(), request.rank());
    connection.send(
        new Message.PermitReply(
            request.id(), permit.granted(), permit.retryAfter().plusMillis(1).toMillis()));
  }

  private void endPermit(long id, Permit permit) {
    Consumer<Permit> receiver = pendingPermits.remove(id);
    if (receiver != null) {
      receiver.accept(permit);
    }
  }

  @Override
  public void onPermitRequest(WireConnection connection, Message.PermitRequest request) {
    limits.stated(
        request.upstream(),
        OptionalDouble.of(request.limitPerSecond()),
        timeOf(request.limitAgeMillis()));
    OptionalDouble limit = limits.limit(request.upstream());
    Permit permit =
        limit.isEmpty()
            ? new Permit(true, Duration.ZERO)
            : issuer.issue(request.upstream(), limit.getAsDouble(), request.rank(), loop.now());
    connection.send(
        new Message.PermitReply(
            request.id(), permit.granted(), permit.retryAfter().plusMillis(1).toMillis()));
  }

  @Override
  public void onPermitReply(Message.PermitReply reply) {
    endPermit(reply.id(), new Permit(reply.granted(), Duration.ofMillis(reply.retryAfterMillis())));
  }

  private void forgetUnlisted() {
    coldUpstreams.retain(id -> control.roster().find(id).isPresent());
    issuer.retain(key -> find(key).isPresent());
    denials.keySet().removeIf(key -> find(key).isEmpty());
    if (limits.isEmpty()) {
      return;
    }
    limits.retain(key -> find(key).isPresent());
    toldLimits.keySet().removeIf(key -> find(key).isEmpty());
  }

  private Optional<UpstreamInstance> find(String key) {
    return control
        .roster()
        .find(key.substring(0, Math.max(0, key.lastIndexOf('/'))))
        .filter(upstream -> UpstreamClient.poolKey(upstream).equals(key));
  }
}
