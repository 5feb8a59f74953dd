package org.oriolewell.core.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.oriolewell.core.placement.Placement;
import org.oriolewell.core.placement.UpstreamHealth;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.routing.Hashing;

/** Replays arrivals at gateways in front of batching engines of different speeds. */
final class EngineReplay {
  static final double[] SPEEDS = {0.6, 1.0, 1.6};
  static final int ENGINES = 40;
  private static final long MILLI = 1_000_000;
  private static final long DURATION = 40_000 * MILLI;
  private static final long WARM_UP = 10_000 * MILLI;
  private static final double STEP_MILLIS = 5.05;
  private static final double TOKENS_PER_MILLI = 40.8;
  private static final int OWN_TOKENS = 2000;
  private static final int SHARED_TOKENS = 3000;
  private static final int OUTPUT_TOKENS = 96;
  private static final int CACHED_PREFIXES = 12;
  private static final int PREFIXES = 200;
  private static final double SLOW_SHARE = 0.15;
  private static final double SLOW_MILLIS = 600;

  enum Policy {
    ROUND_ROBIN,
    LEAST_IN_PROGRESS,
    TWO_CHOICES,
    FIXED_WEIGHT,
    LEARNED,
    PERFECT
  }

  record Outcome(double goodput, double p95, double p99, double slowShare) {}

  private final class Request {
    private final Gateway gateway;
    private final int engine;
    private final int prefix;
    private final long sentAt = now;
    private final StreamPace pace;
    private int written;

    private Request(Gateway gateway, int engine, int prefix) {
      this.gateway = gateway;
      this.engine = engine;
      this.prefix = prefix;
      pace = StreamPace.of(gateway.shared, id(engine));
    }
  }

  private final class Engine {
    private final int number;
    private final Deque<Request> waiting = new ArrayDeque<>();
    private final List<Request> running = new ArrayList<>();
    private final Map<Integer, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private double speed;
    private boolean stepping;
    private long slowUntil;
    private long nextSlowAt;

    private Engine(int number) {
      this.number = number;
      speed = SPEEDS[number % SPEEDS.length];
      nextSlowAt = slowGap();
    }

    private long slowGap() {
      return (long)
          (-Math.log(1 - random.nextDouble()) * SLOW_MILLIS * (1 / SLOW_SHARE - 1) * MILLI);
    }

    private void step() {
      double tokens = 0;
      while (running.size() < 64 && !waiting.isEmpty()) {
        Request request = waiting.remove();
        tokens += OWN_TOKENS + (cache.containsKey(request.prefix) ? 0 : SHARED_TOKENS);
        cache.put(request.prefix, true);
        if (cache.size() > CACHED_PREFIXES) {
          cache.remove(cache.keySet().iterator().next());
        }
        running.add(request);
      }
      stepping = !running.isEmpty();
      if (stepping) {
        if (now >= nextSlowAt) {
          slowUntil = now + (long) (SLOW_MILLIS * MILLI);
          nextSlowAt = slowUntil + slowGap();
        }
        double millis = (STEP_MILLIS + tokens / TOKENS_PER_MILLI) / speed;
        at(now + (long) (millis * MILLI * (now < slowUntil ? 2.5 : 1)), this::endStep);
      }
    }

    private void endStep() {
      for (Request request : List.copyOf(running)) {
        request.written++;
        if (request.written % 4 == 0) {
          request.pace.received(1, now);
        }
        if (request.written == 4) {
          request.gateway.work.answered(id(number), 1);
        }
        if (request.written == 4 && request.sentAt >= WARM_UP) {
          firstByteMillis.add((now - request.sentAt) / (double) MILLI);
          slowRequests += speed < 1 ? 1 : 0;
        }
        if (request.written == OUTPUT_TOKENS) {
          running.remove(request);
          request.gateway.health.ended(id(number));
        }
      }
      step();
    }
  }

  private final class Gateway {
    private final UpstreamHealth health = UpstreamHealth.create();
    private final UnansweredWork work = UnansweredWork.create();
    private final SharedCapacity shared = SharedCapacity.of(work);
    private final Placement placement;
    private int turn = random.nextInt(ENGINES);

    private Gateway(Policy policy) {
      SplittableRandom own = random.split();
      placement =
          switch (policy) {
            case LEARNED -> Placement.of(health, shared, own);
            case PERFECT -> Placement.of(health, new Truth(), own);
            default -> Placement.of(health, own);
          };
    }

    private int choose(Policy policy, int prefix) {
      int one = random.nextInt(ENGINES);
      int other = random.nextInt(ENGINES);
      return switch (policy) {
        case ROUND_ROBIN -> turn++ % ENGINES;
        case TWO_CHOICES -> health.inFlight(id(one)) <= health.inFlight(id(other)) ? one : other;
        case LEAST_IN_PROGRESS ->
            number(placement.leastLoaded(upstreams, to -> 0, Set.of(), now).orElseThrow());
        default ->
            number(
                placement
                    .byAffinity(upstreams, Hashing.mix(prefix + 1), Set.of(), now)
                    .orElseThrow());
      };
    }
  }

  /** Knows the speeds and all requests in progress at any moment. */
  private final class Truth implements CapacitySource {
    @Override
    public OptionalInt level(String upstreamId, long at) {
      double gap = 4 * STEP_MILLIS * MILLI / engines.get(Integer.parseInt(upstreamId)).speed;
      return OptionalInt.of((int) Math.round(SpeedLevel.position(gap)));
    }

    @Override
    public double load(String upstreamId, long at) {
      Engine engine = engines.get(Integer.parseInt(upstreamId));
      long reading = engine.running.stream().filter(request -> request.written < 4).count();
      return reading + engine.waiting.size();
    }
  }

  private record Event(long time, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return time == other.time ? Long.compare(order, other.order) : Long.compare(time, other.time);
    }
  }

  private final SplittableRandom random = new SplittableRandom(7);
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<UpstreamInstance> upstreams =
      IntStream.range(0, ENGINES)
          .mapToObj(
              i ->
                  new UpstreamInstance(
                      id(i), 1, "engine", new Ipv4SocketAddress(1, i), "z", 64, false))
          .toList();
  private final List<Engine> engines = IntStream.range(0, ENGINES).mapToObj(Engine::new).toList();
  private final List<Double> firstByteMillis = new ArrayList<>();
  private final Policy policy;
  private final double perSecond;
  private final List<Gateway> gateways = new ArrayList<>();
  private final CapacityCollector collector = CapacityCollector.create();
  private int slowRequests;
  private long now;
  private long order;

  private EngineReplay(Policy policy, int gatewayCount, double perSecond) {
    this.policy = policy;
    this.perSecond = perSecond;
    IntStream.range(0, gatewayCount).forEach(i -> gateways.add(new Gateway(policy)));
  }

  /** Runs a replay; the speeds change places after the warm-up if asked for. */
  static Outcome run(Policy policy, int gatewayCount, double perSecond, boolean speedsChange) {
    EngineReplay replay = new EngineReplay(policy, gatewayCount, perSecond);
    if (speedsChange) {
      replay.at(
          WARM_UP,
          () -> replay.engines.forEach(engine -> engine.speed = SPEEDS[2 - engine.number % 3]));
    }
    return replay.replay();
  }

  private static String id(int engine) {
    return Integer.toString(engine);
  }

  private static int number(UpstreamInstance engine) {
    return Integer.parseInt(engine.id());
  }

  private void at(long time, Runnable action) {
    events.add(new Event(time, order++, action));
  }

  private void arrive() {
    Gateway gateway = gateways.get(random.nextInt(gateways.size()));
    int prefix = (int) (PREFIXES * Math.pow(random.nextDouble(), 2));
    int chosen = gateway.choose(policy, prefix);
    gateway.health.started(id(chosen));
    gateway.work.sent(id(chosen), 1);
    Engine engine = engines.get(chosen);
    engine.waiting.add(new Request(gateway, chosen, prefix));
    if (!engine.stepping) {
      engine.step();
    }
    double gapSeconds = -Math.log(1 - random.nextDouble()) / perSecond;
    at(now + (long) (gapSeconds * 1000 * MILLI), this::arrive);
  }

  private void exchange() {
    for (int i = 0; i < gateways.size(); i++) {
      Gateway gateway = gateways.get(i);
      collector.reported("g" + i, gateway.shared.nextReport(now), now);
    }
    at(
        now + 125 * MILLI,
        () -> {
          CapacitySums sums = collector.nextSums(now);
          gateways.forEach(gateway -> gateway.shared.received(sums, now));
        });
    at(now + 250 * MILLI, this::exchange);
  }

  private Outcome replay() {
    at(0, this::arrive);
    at(0, this::exchange);
    while (now < DURATION) {
      Event event = events.remove();
      now = event.time();
      event.action().run();
    }
    Collections.sort(firstByteMillis);
    int count = firstByteMillis.size();
    long good = firstByteMillis.stream().filter(millis -> millis <= 500).count();
    double expected = perSecond * (DURATION - WARM_UP) / 1000.0 / MILLI;
    return new Outcome(
        good / expected,
        firstByteMillis.get(count * 95 / 100),
        firstByteMillis.get(count * 99 / 100),
        slowRequests / (double) count);
  }
}
