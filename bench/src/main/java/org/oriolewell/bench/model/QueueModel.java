package org.oriolewell.bench.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** One run of the model. */
final class QueueModel {
  /** Time after which entries have found a lost zone dead. */
  private static final long DETECTION_NANOS = 750_000_000L;

  private static final long HEARTBEAT_NANOS = 250_000_000L;
  private static final long TICK_NANOS = 20_000_000L;
  private static final int WORKSPACES_PER_FIRM = 3;

  private final VirtualTime time = new VirtualTime();
  private final ModelSettings settings;
  private final Scenario scenario;
  private final Report report = new Report();
  private final Map<String, ModelUpstream> upstreams = new LinkedHashMap<>();
  private final List<ModelEntry> entries = new ArrayList<>();
  private final List<ModelCall> lostCalls = new ArrayList<>();
  private final SplittableRandom arrivals;

  private QueueModel(ModelSettings settings, Scenario scenario, PolicySpec policy, long seed) {
    this.settings = settings;
    this.scenario = scenario;
    SplittableRandom random = new SplittableRandom(seed);
    this.arrivals = random.split();
    for (int z = 0; z < ModelSettings.ZONES; z++) {
      String zone = ModelSettings.zone(z);
      for (int i = 0; i < settings.upstreamsPerZone(); i++) {
        String name = zone + "-" + i;
        upstreams.put(
            name, new ModelUpstream(name, zone, time, settings, scenario, policy, lostCalls::add));
      }
    }
    for (int z = 0; z < ModelSettings.ZONES; z++) {
      for (int i = 0; i < settings.entriesPerZone(); i++) {
        String zone = ModelSettings.zone(z);
        String name = "entry-" + zone + "-" + i;
        entries.add(
            new ModelEntry(name, zone, time, settings, policy, upstreams, report, random.split()));
      }
    }
  }

  /** Runs a scenario with a policy and returns the counts. The same seed gives the same counts. */
  static Report run(ModelSettings settings, Scenario scenario, PolicySpec policy, long seed) {
    QueueModel model = new QueueModel(settings, scenario, policy, seed);
    model.start();
    model.time.runUntil((long) ((settings.seconds() + 2) * 1e9));
    return model.report;
  }

  private void start() {
    time.after(0, () -> arrive(0));
    time.after(0, () -> arrive(1));
    time.after(TICK_NANOS, this::tick);
    time.after(HEARTBEAT_NANOS, this::heartbeats);
    if (!scenario.lostZone().isEmpty()) {
      time.after((long) (scenario.lostAt() * 1e9) + DETECTION_NANOS, this::detectLoss);
    }
  }

  private void arrive(int firm) {
    double second = time.now() * 1e-9;
    if (second >= settings.seconds()) {
      return;
    }
    double rate = scenario.load().of(firm, second) * settings.capacity();
    if (rate <= 0) {
      time.after(10_000_000L, () -> arrive(firm));
      return;
    }
    time.after((long) (exponential() / rate * 1e9), () -> arrive(firm));
    if (second == 0) {
      return;
    }
    report.offered(firm, second);
    double above = settings.serviceMeanMillis() - settings.serviceMinMillis();
    ModelRequest request =
        new ModelRequest(
            firm,
            "w" + firm + arrivals.nextInt(WORKSPACES_PER_FIRM),
            3 + arrivals.nextInt(settings.priorities()),
            time.now(),
            time.now() + (long) (settings.deadlineMillis() * 1e6),
            (settings.serviceMinMillis() + above * exponential()) * 1e6);
    entries.get(arrivals.nextInt(entries.size())).accept(request);
  }

  private double exponential() {
    return -Math.log(1 - arrivals.nextDouble());
  }

  private void tick() {
    upstreams.values().forEach(ModelUpstream::tick);
    time.after(TICK_NANOS, this::tick);
  }

  private void heartbeats() {
    for (ModelUpstream upstream : upstreams.values()) {
      if (!upstream.lost()) {
        entries.forEach(entry -> entry.heartbeat(upstream.name, upstream.load()));
      }
    }
    time.after(HEARTBEAT_NANOS, this::heartbeats);
  }

  private void detectLoss() {
    entries.forEach(entry -> entry.members(scenario.lostZone()));
    List.copyOf(lostCalls).forEach(ModelCall::lost);
  }
}
