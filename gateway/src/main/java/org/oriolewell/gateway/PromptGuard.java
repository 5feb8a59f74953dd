package org.oriolewell.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oriolewell.core.quarantine.CrashVictim;
import org.oriolewell.core.quarantine.PromptQuarantine;
import org.oriolewell.core.quarantine.PromptQuarantine.Decision;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.routing.Hashing;
import org.oriolewell.gateway.ObservationExchange.Kind;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.wire.Message;

/**
 * Applies the {@link PromptQuarantine} to the requests of this gateway. It detects crashes of
 * engines, shares the evidence with the other gateways, and keeps the quarantined parts in the
 * store, from which gateways read them that start later.
 *
 * <p>Used on the event loop only.
 */
final class PromptGuard implements ControlPlane.QuarantineListener {
  /**
   * Time from the loss of a connection until the check whether the engine still accepts others; an
   * engine that ends closes its connections one after the other.
   */
  private static final Duration CHECK_DELAY = Duration.ofMillis(20);

  /** Time for which an answer has to be written until its prompt counts as sound. */
  static final Duration SOUND_WRITING_TIME = Duration.ofSeconds(1);

  /** Lifetime of an entry in the store; a part that is not tried meanwhile is forgotten. */
  private static final Duration ENTRY_LIFETIME = Duration.ofMinutes(10);

  /** Time after which gateways write an entry that the one that should have written it has not. */
  private static final Duration MISSING_ENTRY_DELAY = Duration.ofSeconds(2);

  /** Further delay of such a write, different for each gateway, so that one is enough. */
  private static final int MAX_DELAY_SPREAD_MILLIS = 2000;

  /** Pause after a write that failed. */
  private static final Duration WRITE_RETRY_DELAY = Duration.ofSeconds(1);

  /** Most released parts that are remembered; the oldest are dropped. */
  private static final int MAX_RELEASES = 256;

  /** Separates the ids in the report of a crash; header values can't contain it. */
  private static final String FIELD_SEPARATOR = "\n";

  /** Most requests that the report of a crash lists; it has to fit into one message. */
  private static final int MAX_REPORTED_VICTIMS = 256;

  /** Most prompt parts of each request in the report of a crash. */
  private static final int MAX_REPORTED_PARTS = 32;

  /** A request of this gateway that has not ended. */
  interface PendingRequest {
    /** Returns the ids of the prompt's parts that other requests may share. */
    List<String> sharedPromptParts();

    /** Ends the request unless its answer has begun. */
    void onQuarantined(String part);
  }

  private final EventLoop loop;
  private final ControlPlane control;
  private final ControlFeed feed;
  private final UpstreamClient client;
  private final ObservationExchange exchange;
  private final EventLog log;
  private final PromptQuarantine quarantine = PromptQuarantine.create();
  private final Map<String, Map<String, CrashVictim>> victimsByEngine = new HashMap<>();
  private final Set<PendingRequest> pendingRequests = new HashSet<>();
  private final Set<String> storedParts = new HashSet<>();

  /** Parts released lately; a store restored from a copy may list them again. */
  private final Map<String, Long> releaseTimes = new LinkedHashMap<>();

  /** Parts that a restored store lists although they were released. */
  private final Set<String> outdatedParts = new HashSet<>();

  PromptGuard(
      EventLoop loop,
      ControlPlane control,
      ControlFeed feed,
      UpstreamClient client,
      ObservationExchange exchange,
      EventLog log) {
    this.loop = loop;
    this.control = control;
    this.feed = feed;
    this.client = client;
    this.exchange = exchange;
    this.log = log;
    exchange.receive(Kind.ENGINE_CRASHED, this::onCrashReported);
    exchange.receive(Kind.PART_ANSWERED, this::onAnswerReported);
    exchange.receive(Kind.PART_QUARANTINED, this::onQuarantineReported);
    control.quarantineListener(this);
  }

  /** Decides whether a request with these parts may be sent to an engine. */
  Decision decide(List<String> parts) {
    return quarantine.decide(parts, control::ranksFirst, loop.now());
  }

  /** Returns whether a request that failed at one engine may be sent to another. */
  boolean mayRepeat(List<String> parts) {
    return quarantine.mayRepeat(parts);
  }

  /** Returns the number of parts in quarantine. */
  int quarantinedCount() {
    return quarantine.quarantinedParts().size();
  }

  void requestStarted(PendingRequest request) {
    pendingRequests.add(request);
  }

  void requestEnded(PendingRequest request) {
    pendingRequests.remove(request);
  }

  /**
   * Records that a connection was lost before the answer to a request was known to be sound, and
   * checks whether the engine has crashed.
   */
  void connectionLost(UpstreamInstance engine, String requestId, List<String> parts) {
    if (parts.isEmpty()) {
      return;
    }
    String engineKey = UpstreamClient.poolKey(engine);
    Map<String, CrashVictim> victims = victimsByEngine.get(engineKey);
    if (victims == null) {
      victims = new LinkedHashMap<>();
      victimsByEngine.put(engineKey, victims);
      loop.after(CHECK_DELAY, () -> checkEngine(engine, engineKey));
    }
    if (victims.size() < MAX_REPORTED_VICTIMS) {
      List<String> reportedParts = parts.subList(0, Math.min(parts.size(), MAX_REPORTED_PARTS));
      victims.put(requestId, new CrashVictim(requestId, reportedParts));
    }
  }

  private void checkEngine(UpstreamInstance engine, String engineKey) {
    client.checkAccepting(
        engineKey,
        engine.address(),
        accepting -> {
          Map<String, CrashVictim> victims = victimsByEngine.remove(engineKey);
          if (!accepting && victims != null) {
            reportCrash(engineKey, List.copyOf(victims.values()));
          }
        });
  }

  private void reportCrash(String engineKey, List<CrashVictim> victims) {
    log.event(GatewayEvent.ENGINE_CRASHED)
        .with("upstream", engineKey)
        .with("requests", victims.stream().map(CrashVictim::requestId).toList())
        .with("prompt_parts", victims.stream().map(CrashVictim::promptParts).toList())
        .write();
    exchange.publish(Kind.ENGINE_CRASHED, engineKey, 0, encode(victims));
    List<String> culprits = quarantine.engineCrashed(engineKey, victims, loop.now());
    for (String part : culprits) {
      Duration trialDelay = quarantine.trialDelay(part);
      exchange.publish(Kind.PART_QUARANTINED, part, trialDelay.toMillis(), List.of());
      enforce(part, "crashes reported here");
      store(part);
    }
  }

  private static List<String> encode(List<CrashVictim> victims) {
    List<String> encoded = new ArrayList<>();
    for (CrashVictim victim : victims) {
      List<String> fields = new ArrayList<>(List.of(victim.requestId()));
      fields.addAll(victim.promptParts());
      encoded.add(String.join(FIELD_SEPARATOR, fields));
    }
    return encoded;
  }

  private void onCrashReported(Message.Observation observation) {
    List<CrashVictim> victims = new ArrayList<>();
    for (String text : observation.details()) {
      List<String> fields = Arrays.asList(text.split(FIELD_SEPARATOR));
      victims.add(new CrashVictim(fields.get(0), fields.subList(1, fields.size())));
    }
    long crashedAt = loop.now() - Duration.ofMillis(observation.ageMillis()).toNanos();
    quarantine
        .engineCrashed(observation.subject(), victims, crashedAt)
        .forEach(
            part -> {
              enforce(part, "crashes reported by " + observation.origin());
              storeIfMissing(part);
            });
  }

  private void onQuarantineReported(Message.Observation observation) {
    String part = observation.subject();
    boolean known = quarantine.isQuarantined(part);
    quarantine.quarantine(part, Duration.ofMillis((long) observation.value()), loop.now());
    if (!known) {
      enforce(part, "reported by " + observation.origin());
      storeIfMissing(part);
    }
  }

  private void onAnswerReported(Message.Observation observation) {
    boolean released = quarantine.isQuarantined(observation.subject());
    quarantine.answered(List.of(observation.subject()));
    if (released) {
      afterRelease(observation.subject(), "answered at " + observation.origin());
    }
  }

  /** Records a sound answer to a prompt, which shows that none of its parts crashes engines. */
  void answered(List<String> parts) {
    List<String> quarantinedParts = parts.stream().filter(quarantine::isQuarantined).toList();
    for (String part : quarantine.answered(parts)) {
      exchange.publish(Kind.PART_ANSWERED, part, 0, List.of());
    }
    for (String part : quarantinedParts) {
      afterRelease(part, "answered here");
      removeFromStore(part);
    }
  }

  /** Quarantines a part for longer after its trial request has crashed an engine. */
  void trialFailed(String part) {
    if (quarantine.isQuarantined(part)) {
      long trialMillis = quarantine.trialDelay(part).toMillis();
      exchange.publish(Kind.PART_QUARANTINED, part, trialMillis, List.of());
      store(part);
    }
  }

  private void enforce(String part, String reason) {
    releaseTimes.remove(part);
    outdatedParts.remove(part);
    log.event(GatewayEvent.PROMPT_QUARANTINED)
        .with("prompt_part", part)
        .with("reason", reason)
        .with("trial_delay_ms", quarantine.trialDelay(part).toMillis())
        .write();
    for (PendingRequest request : List.copyOf(pendingRequests)) {
      if (request.sharedPromptParts().contains(part)) {
        request.onQuarantined(part);
      }
    }
  }

  private void afterRelease(String part, String reason) {
    releaseTimes.remove(part);
    releaseTimes.put(part, loop.now());
    if (releaseTimes.size() > MAX_RELEASES) {
      releaseTimes.remove(releaseTimes.keySet().iterator().next());
    }
    exchange.withdraw(Kind.PART_QUARANTINED, part);
    log.event(GatewayEvent.PROMPT_RELEASED)
        .with("prompt_part", part)
        .with("reason", reason)
        .write();
  }

  private void storeIfMissing(String part) {
    afterOthers(
        () -> {
          if (!storedParts.contains(part)) {
            store(part);
          }
        });
  }

  /** Runs a task after another gateway had time to make it needless. */
  private void afterOthers(Runnable task) {
    int spreadMillis = Math.floorMod(Hashing.of(control.self().name()), MAX_DELAY_SPREAD_MILLIS);
    loop.after(MISSING_ENTRY_DELAY.plusMillis(spreadMillis), task);
  }

  private void removeFromStore(String part) {
    if (quarantine.isQuarantined(part)) {
      return;
    }
    feed.release(part)
        .whenComplete(
            (done, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        loop.after(WRITE_RETRY_DELAY, () -> removeFromStore(part));
                      }
                    }));
  }

  private void store(String part) {
    if (!quarantine.isQuarantined(part)) {
      return;
    }
    feed.quarantine(part, quarantine.trialDelay(part), ENTRY_LIFETIME)
        .whenComplete(
            (done, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        loop.after(WRITE_RETRY_DELAY, () -> store(part));
                      }
                    }));
  }

  @Override
  public void onQuarantined(String part, Duration trialDelay) {
    storedParts.add(part);
    boolean known = quarantine.isQuarantined(part);
    quarantine.quarantine(part, trialDelay, loop.now());
    if (!known) {
      enforce(part, "listed in the store");
    }
  }

  @Override
  public void onReleased(String part) {
    storedParts.remove(part);
    outdatedParts.remove(part);
    if (quarantine.release(part)) {
      afterRelease(part, "no longer listed in the store");
    }
  }

  @Override
  public void onSnapshot(Map<String, Duration> trialDelaysByPart, boolean restored) {
    if (restored) {
      reconcile(trialDelaysByPart);
      return;
    }
    trialDelaysByPart.forEach(
        (part, trialDelay) -> {
          if (!outdatedParts.contains(part)) {
            onQuarantined(part, trialDelay);
          }
        });
    for (String part : List.copyOf(storedParts)) {
      if (!trialDelaysByPart.containsKey(part)) {
        onReleased(part);
      }
    }
  }

  /**
   * Brings a store that was restored from a copy to what this gateway knows: parts that it lacks
   * are written again, and parts that were released meanwhile are removed again.
   */
  private void reconcile(Map<String, Duration> trialDelaysByPart) {
    storedParts.clear();
    storedParts.addAll(trialDelaysByPart.keySet());
    outdatedParts.clear();
    long now = loop.now();
    releaseTimes.values().removeIf(time -> now - time > ENTRY_LIFETIME.toNanos());
    trialDelaysByPart.forEach(
        (part, trialDelay) -> {
          if (releaseTimes.containsKey(part)) {
            outdatedParts.add(part);
            removeOutdated(part);
          } else {
            onQuarantined(part, trialDelay);
          }
        });
    for (String part : quarantine.quarantinedParts()) {
      if (!storedParts.contains(part)) {
        if (control.ranksFirst(part)) {
          store(part);
        } else {
          storeIfMissing(part);
        }
      }
    }
  }

  private void removeOutdated(String part) {
    if (control.ranksFirst(part)) {
      removeFromStore(part);
    } else {
      afterOthers(
          () -> {
            if (outdatedParts.contains(part)) {
              removeFromStore(part);
            }
          });
    }
  }
}
