package org.oriolewell.bench.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.admission.AdmissionLoad;
import org.oriolewell.core.deadline.DeadlinePlanner;
import org.oriolewell.core.deadline.StageKey;
import org.oriolewell.core.membership.Member;
import org.oriolewell.core.membership.MemberState;
import org.oriolewell.core.retry.AttemptOutcome;
import org.oriolewell.core.retry.Backoff;
import org.oriolewell.core.retry.RetryBudget;
import org.oriolewell.core.retry.RetryBudgetSettings;
import org.oriolewell.core.retry.RetryRule;
import org.oriolewell.core.routing.Baselines;
import org.oriolewell.core.routing.CallResult;
import org.oriolewell.core.routing.Place;
import org.oriolewell.core.routing.RouteRequest;
import org.oriolewell.core.routing.Router;
import org.oriolewell.core.routing.RouterSettings;
import org.oriolewell.core.routing.RoutingPolicy;

/** An entry: routes, retries and hedges requests of one stage. */
final class ModelEntry {
  private static final StageKey STAGE = new StageKey("pipeline", "stage", 0);
  private static final int MAX_ATTEMPTS = 3;

  final String zone;
  private final VirtualTime time;
  private final ModelSettings settings;
  private final PolicySpec policy;
  private final Report report;
  private final Map<String, ModelUpstream> upstreams;
  private final SplittableRandom random;
  private final Router router;
  private RoutingPolicy routing;
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Map<String, Integer> reported = new HashMap<>();
  private final DeadlinePlanner planner = DeadlinePlanner.create();
  private final RetryBudget budget = RetryBudget.create(RetryBudgetSettings.defaults());
  private final Backoff backoff = Backoff.defaults();

  ModelEntry(
      String name,
      String zone,
      VirtualTime time,
      ModelSettings settings,
      PolicySpec policy,
      Map<String, ModelUpstream> upstreams,
      Report report,
      SplittableRandom random) {
    this.zone = zone;
    this.time = time;
    this.settings = settings;
    this.policy = policy;
    this.report = report;
    this.upstreams = upstreams;
    this.random = random;
    Place here = new Place(zone, ModelSettings.region(zone));
    this.router = Router.create("pool", RouterSettings.defaults(), here, name, random.split());
    this.routing = router;
    members("");
  }

  /** Takes all upstreams but those of a zone that this entry has found dead. */
  void members(String deadZone) {
    List<ModelUpstream> live =
        upstreams.values().stream().filter(u -> !u.zone.equals(deadZone)).toList();
    List<String> names = live.stream().map(u -> u.name).toList();
    routing =
        switch (policy.routing()) {
          case ROUTER -> router;
          case RANDOM -> Baselines.random(names, random);
          case ROUND_ROBIN -> Baselines.roundRobin(names);
          case LEAST_REPORTED -> Baselines.leastReported(names, n -> reported.getOrDefault(n, 0));
          case PLACE_BLIND -> Baselines.placeBlind(names, n -> inFlight.getOrDefault(n, 0), random);
        };
    router.update(
        live.stream()
            .map(u -> new Member(u.name, "a", u.zone, ModelSettings.region(u.zone), MemberState.UP))
            .toList(),
        time.now());
  }

  void accept(ModelRequest request) {
    budget.attempted("pipeline");
    attempt(request);
    OptionalLong delay = planner.hedgeDelay(STAGE);
    if (policy.hedge() && delay.isPresent()) {
      time.after(delay.getAsLong(), () -> hedge(request));
    }
  }

  private void hedge(ModelRequest request) {
    if (!request.done && time.now() < request.deadline && request.open == 1) {
      String chosen = choose(request, true);
      if (chosen != null && budget.tryHedge("pipeline", time.now())) {
        send(request, chosen);
      }
    }
  }

  private void attempt(ModelRequest request) {
    String chosen = choose(request, false);
    if (chosen != null) {
      send(request, chosen);
    }
  }

  private @Nullable String choose(ModelRequest request, boolean hedge) {
    report.decisions++;
    RouteRequest route = RouteRequest.call(settings.bytes());
    route = hedge ? route.hedging(request.tried) : route.excluding(request.tried);
    return routing.choose(route, time.now()).chosen();
  }

  private void send(ModelRequest request, String chosen) {
    ModelUpstream upstream = Objects.requireNonNull(upstreams.get(chosen));
    report.attempts++;
    if (!ModelSettings.region(zone).equals(ModelSettings.region(upstream.zone))) {
      report.regionBytes += settings.bytes();
    }
    request.tried.add(chosen);
    request.open++;
    ModelCall call = new ModelCall(request, this, chosen, time.now());
    request.calls.add(call);
    router.started(chosen);
    inFlight.merge(chosen, 1, Integer::sum);
    long oneWay = ModelSettings.oneWayNanos(zone, upstream.zone);
    time.after(oneWay, () -> upstream.receive(call));
  }

  /** Takes the end of a call. */
  void replied(ModelCall call, CallResult result, AdmissionLoad load) {
    inFlight.merge(call.upstream, -1, Integer::sum);
    long latency = time.now() - call.sentAt;
    ModelRequest request = call.request;
    request.open--;
    CallResult known = request.done && result == CallResult.REFUSED ? CallResult.CANCELED : result;
    router.finished(call.upstream, known, latency, time.now());
    heartbeat(call.upstream, load);
    if (result == CallResult.REFUSED) {
      budget.overloaded(time.now());
    }
    if (result == CallResult.ANSWERED) {
      planner.observed(STAGE, latency);
    }
    if (request.done) {
      return;
    }
    if (result == CallResult.ANSWERED) {
      answered(request);
    } else {
      retry(request, result);
    }
  }

  void heartbeat(String upstream, AdmissionLoad load) {
    router.reported(upstream, load.queued(), time.now());
    reported.put(upstream, load.inFlight() + load.queued());
  }

  private void answered(ModelRequest request) {
    request.done = true;
    if (time.now() <= request.deadline) {
      report.attained(request.firm, request.arrivedAt * 1e-9);
    }
    for (ModelCall other : request.calls) {
      ModelUpstream upstream = upstreams.get(other.upstream);
      if (!other.replied && upstream != null && policy.hedge()) {
        cancel(other, upstream);
      }
    }
  }

  private void cancel(ModelCall call, ModelUpstream upstream) {
    long oneWay = ModelSettings.oneWayNanos(zone, upstream.zone);
    time.after(
        oneWay,
        () -> {
          if (upstream.cancel(call)) {
            call.reply(CallResult.CANCELED, upstream.load());
          }
        });
  }

  private void retry(ModelRequest request, CallResult result) {
    AttemptOutcome outcome =
        result == CallResult.REFUSED ? AttemptOutcome.OVERLOADED : AttemptOutcome.FAILED;
    if (request.open > 0
        || request.tried.size() >= MAX_ATTEMPTS
        || time.now() >= request.deadline
        || !RetryRule.STANDARD.mayRetry(outcome, true)
        || !budget.tryTake("pipeline", time.now())) {
      return;
    }
    time.after(backoff.delay(request.tried.size(), random).toNanos(), () -> attempt(request));
  }
}
