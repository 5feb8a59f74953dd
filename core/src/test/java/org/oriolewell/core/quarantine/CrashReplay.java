package org.oriolewell.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.oriolewell.core.quarantine.CrashQuarantine.Decision;
import org.oriolewell.core.routing.Hashing;

/**
 * Replays requests with a subject that crashes engines, for one decider at each gateway. Reports of
 * crashes and answers reach the other deciders late, in another order, or not at all, and
 * connections between gateways are down for seconds. Besides, engines crash without a cause in the
 * requests, in groups at the same moment.
 */
final class CrashReplay {
  private static final String FATAL = "badc0de";
  private static final String FATAL_REQUEST = "request-fa7a1";
  private static final long STEP = Duration.ofMillis(5).toNanos();
  private static final long END = Duration.ofSeconds(30).toNanos();
  private static final long CONTACT_TIME = Duration.ofSeconds(4).toNanos();
  private static final long RESTART_TIME = Duration.ofSeconds(2).toNanos();
  private static final long STORE_DELAY = Duration.ofMillis(400).toNanos();

  /** Time from the first token of a fatal request to the end of its engine. */
  private static final long CRASH_DELAY = Duration.ofMillis(80).toNanos();

  /** Time for which a connection between two gateways is down, and loses what is sent on it. */
  private static final long OUTAGE_TIME = Duration.ofSeconds(2).toNanos();

  /** Share of messages that are lost on connections that are not down. */
  private static final double RANDOM_LOSS = 0.02;

  private static final int SUBJECTS = 40;

  /** Share of requests that go to the engine that has their subject in its cache. */
  private static final double AFFINITY_SHARE = 0.8;

  private record Event(long at, Runnable action) {}

  private record Running(int gateway, List<String> parts, String id, long startedAt) {}

  private static final class Engine {
    private String id;
    private long backAt;
    private final List<Running> running = new ArrayList<>();

    private Engine(String id) {
      this.id = id;
    }
  }

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at));
  private final List<CrashQuarantine> deciders = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Long> fatalCrashes = new ArrayList<>();
  private final List<Long> fatalSends = new ArrayList<>();
  private final Set<String> innocentsHeldBack = new HashSet<>();
  private final SplittableRandom random;
  private final long seed;
  private final double outageShare;
  private final boolean wholeRequest;
  private int nextId;
  private long now;

  /**
   * Creates a replay.
   *
   * @param outageShare share of the time for which a connection between two gateways is down
   * @param wholeRequest whether one request that is sent again crashes engines, and not all
   *     requests with one prompt part
   */
  CrashReplay(int gateways, int engineCount, double outageShare, long seed, boolean wholeRequest) {
    this.outageShare = outageShare;
    this.seed = seed;
    this.wholeRequest = wholeRequest;
    random = new SplittableRandom(seed);
    for (int i = 0; i < gateways; i++) {
      deciders.add(CrashQuarantine.create());
    }
    for (int i = 0; i < engineCount; i++) {
      engines.add(new Engine("e" + nextId++));
    }
  }

  /** Runs the replay to its end. */
  void run() {
    double soundPerStep = 0.25 * engines.size() / 8;
    while (now < END) {
      now += STEP;
      while (!events.isEmpty() && events.peek().at() <= now) {
        events.poll().action().run();
      }
      sendSome(soundPerStep, "s");
      if (now > Duration.ofSeconds(5).toNanos()) {
        sendSome(0.015, FATAL);
      }
      if (random.nextDouble() < 0.0005) {
        crashGroup();
      }
    }
  }

  /** Returns the number of engines that crashed under the fatal subject. */
  int fatalCrashCount() {
    return fatalCrashes.size();
  }

  /** Returns how many fatal requests were sent later than 4 s after a crash, by its number. */
  long sendsAfterContact(int crashNumber) {
    long crash = fatalCrashes.get(Math.min(crashNumber, fatalCrashes.size()) - 1);
    return fatalSends.stream().filter(at -> at > crash + CONTACT_TIME).count();
  }

  /** Returns the other subjects that were held back. */
  Set<String> innocentsHeldBack() {
    return innocentsHeldBack;
  }

  private void sendSome(double mean, String kind) {
    int count = (int) mean + (random.nextDouble() < mean % 1 ? 1 : 0);
    for (int i = 0; i < count; i++) {
      String subject = "s" + random.nextInt(SUBJECTS);
      List<String> subjects =
          wholeRequest
              ? requestSubjects(kind.equals(FATAL), subject)
              : partSubjects(kind.equals(FATAL), subject);
      send(random.nextInt(deciders.size()), subjects);
    }
  }

  private static List<String> partSubjects(boolean fatal, String subject) {
    return fatal ? List.of("f157", FATAL, subject) : List.of("f157", subject);
  }

  /** The repeated request has only popular parts; each other request is sent once. */
  private List<String> requestSubjects(boolean fatal, String subject) {
    return fatal
        ? List.of(FATAL_REQUEST, "f157", "s7")
        : List.of("request-" + nextId++, "f157", subject);
  }

  private boolean isFatal(List<String> subjects) {
    return subjects.contains(wholeRequest ? FATAL_REQUEST : FATAL);
  }

  private void send(int gateway, List<String> parts) {
    if (deciders.get(gateway).decide(parts, part -> false, now) instanceof Decision.HoldBack held) {
      if (!isFatal(List.of(held.subject()))) {
        innocentsHeldBack.add(held.subject());
      }
      return;
    }
    Engine engine = engineOf(parts.get(parts.size() - 1));
    if (engine.backAt > now) {
      return;
    }
    Running request = new Running(gateway, parts, "r" + nextId++, now);
    engine.running.add(request);
    if (isFatal(parts)) {
      fatalSends.add(now);
      String id = engine.id;
      events.add(
          new Event(
              now + CRASH_DELAY,
              () -> {
                if (engine.id.equals(id)) {
                  crash(engine);
                }
              }));
    } else {
      events.add(
          new Event(
              now + Duration.ofMillis(200 + random.nextInt(1500)).toNanos(),
              () -> complete(engine, request)));
    }
  }

  /** Returns the engine that runs most requests with a part, or another one if that is down. */
  private Engine engineOf(String part) {
    if (random.nextDouble() < AFFINITY_SHARE) {
      return engines.stream()
          .filter(engine -> engine.backAt <= now)
          .max(
              Comparator.comparingLong(
                  engine -> Hashing.rank(Hashing.of(part), Hashing.of(engine.id))))
          .orElse(engines.get(0));
    }
    return engines.get(random.nextInt(engines.size()));
  }

  private void complete(Engine engine, Running request) {
    if (engine.running.remove(request)) {
      for (String part : deciders.get(request.gateway()).answered(request.parts())) {
        tellOthers(request.gateway(), decider -> decider.answered(List.of(part)));
      }
    }
  }

  private void crashGroup() {
    int size = 1 + random.nextInt(Math.max(1, engines.size() / 4));
    int first = random.nextInt(engines.size());
    for (int i = 0; i < size; i++) {
      crash(engines.get((first + i) % engines.size()));
    }
  }

  private void crash(Engine engine) {
    Map<Integer, List<CrashVictim>> victimsByGateway = new HashMap<>();
    for (Running request : engine.running) {
      if (now - request.startedAt() < Duration.ofMillis(1100).toNanos()) {
        victimsByGateway
            .computeIfAbsent(request.gateway(), key -> new ArrayList<>())
            .add(new CrashVictim(request.id(), request.parts()));
      }
    }
    if (engine.running.stream().anyMatch(request -> isFatal(request.parts()))) {
      fatalCrashes.add(now);
    }
    String crashedId = engine.id;
    victimsByGateway.forEach((gateway, victims) -> report(gateway, crashedId, victims));
    engine.running.clear();
    engine.id = "e" + nextId++;
    engine.backAt = now + RESTART_TIME;
  }

  private void report(int gateway, String engineId, List<CrashVictim> victims) {
    List<String> culprits = deciders.get(gateway).upstreamCrashed(engineId, victims, now);
    tellOthers(gateway, decider -> decider.upstreamCrashed(engineId, victims, now));
    for (String part : culprits) {
      for (CrashQuarantine decider : deciders) {
        events.add(
            new Event(
                now + STORE_DELAY,
                () -> decider.quarantine(part, CrashQuarantine.FIRST_TRIAL_DELAY, now)));
      }
    }
  }

  private boolean linkDown(int origin, int receiver) {
    long block = now / OUTAGE_TIME;
    long hash = Hashing.mix(seed + (origin * 1000L + receiver) * 1000 + block);
    return (hash >>> 11) * 0x1p-53 < outageShare;
  }

  private void tellOthers(int origin, Consumer<CrashQuarantine> message) {
    for (int i = 0; i < deciders.size(); i++) {
      if (i != origin && !linkDown(origin, i) && random.nextDouble() >= RANDOM_LOSS) {
        CrashQuarantine decider = deciders.get(i);
        long delay = Duration.ofMillis(1 + random.nextInt(150)).toNanos();
        events.add(new Event(now + delay, () -> message.accept(decider)));
      }
    }
  }
}
