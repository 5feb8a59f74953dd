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
import org.oriolewell.core.quarantine.CrashQuarantine;
import org.oriolewell.core.quarantine.CrashQuarantine.Decision;
import org.oriolewell.core.quarantine.CrashVictim;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.routing.Hashing;
import org.oriolewell.gateway.ObservationExchange.Kind;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.wire.Message;

/**
 * Applies the {@link CrashQuarantine} to the requests of this gateway. It detects crashes of
 * upstreams, shares the evidence with the other gateways, and keeps the quarantined subjects in the
 * store, from which gateways read them that start later.
 *
 * <p>Used on the event loop only.
 */
final class CrashGuard implements ControlPlane.QuarantineListener {
  /**
   * Time from the loss of a connection until the check whether the upstream still accepts others;
   * an upstream that ends closes its connections one after the other.
   */
  private static final Duration CHECK_DELAY = Duration.ofMillis(20);

  /** Time for which an answer has to be written until its request counts as sound. */
  static final Duration SOUND_WRITING_TIME = Duration.ofSeconds(1);

  /** Lifetime of an entry in the store; a subject that is not tried meanwhile is forgotten. */
  private static final Duration ENTRY_LIFETIME = Duration.ofMinutes(10);

  /** Time after which gateways write an entry that the one that should have written it has not. */
  private static final Duration MISSING_ENTRY_DELAY = Duration.ofSeconds(2);

  /** Further delay of such a write, different for each gateway, so that one is enough. */
  private static final int MAX_DELAY_SPREAD_MILLIS = 2000;

  /** Pause after a write that failed. */
  private static final Duration WRITE_RETRY_DELAY = Duration.ofSeconds(1);

  /** Most released subjects that are remembered; the oldest are dropped. */
  private static final int MAX_RELEASES = 256;

  private static final Decision ADMIT = new Decision.Admit();

  /** Separates the ids in the report of a crash; header values can't contain it. */
  private static final String FIELD_SEPARATOR = "\n";

  /** Most requests that the report of a crash lists; it has to fit into one message. */
  private static final int MAX_REPORTED_VICTIMS = 256;

  /** Most subjects of each request in the report of a crash. */
  private static final int MAX_REPORTED_SUBJECTS = 32;

  /** A request of this gateway that has not ended. */
  interface PendingRequest {
    /** Returns what the request has in common with others. */
    CrashSubjects subjects();

    /** Ends the request unless its answer has begun. */
    void onQuarantined(String subject);
  }

  private final EventLoop loop;
  private final ControlPlane control;
  private final ControlFeed feed;
  private final UpstreamClient client;
  private final ObservationExchange exchange;
  private final EventLog log;
  private final CrashQuarantine quarantine = CrashQuarantine.create();
  private final Map<String, Map<String, CrashVictim>> victimsByUpstream = new HashMap<>();
  private final Set<PendingRequest> pendingRequests = new HashSet<>();
  private final Set<String> storedSubjects = new HashSet<>();

  /** Parts released lately; a store restored from a copy may list them again. */
  private final Map<String, Long> releaseTimes = new LinkedHashMap<>();

  /** Parts that a restored store lists although they were released. */
  private final Set<String> outdatedSubjects = new HashSet<>();

  CrashGuard(
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
    exchange.receive(Kind.UPSTREAM_CRASHED, this::onCrashReported);
    exchange.receive(Kind.SUBJECT_ANSWERED, this::onAnswerReported);
    exchange.receive(Kind.SUBJECT_QUARANTINED, this::onQuarantineReported);
    control.quarantineListener(this);
  }

  /** Decides whether a request may be sent to an upstream. */
  Decision decide(CrashSubjects subjects) {
    return quarantine.anyQuarantined()
        ? quarantine.decide(subjects.all(), control::ranksFirst, loop.now())
        : ADMIT;
  }

  /** Returns whether a request that failed at one upstream may be sent to another. */
  boolean mayRepeat(CrashSubjects subjects) {
    return quarantine.isIdle() || quarantine.mayRepeat(subjects.all());
  }

  /** Returns the number of subjects in quarantine. */
  int quarantinedCount() {
    return quarantine.quarantinedSubjects().size();
  }

  void requestStarted(PendingRequest request) {
    pendingRequests.add(request);
  }

  void requestEnded(PendingRequest request) {
    pendingRequests.remove(request);
  }

  /**
   * Records that a connection was lost before the answer to a request was known to be sound, and
   * checks whether the upstream has crashed.
   */
  void connectionLost(UpstreamInstance upstream, String requestId, CrashSubjects subjects) {
    String upstreamKey = UpstreamClient.poolKey(upstream);
    Map<String, CrashVictim> victims = victimsByUpstream.get(upstreamKey);
    if (victims == null) {
      victims = new LinkedHashMap<>();
      victimsByUpstream.put(upstreamKey, victims);
      loop.after(CHECK_DELAY, () -> checkUpstream(upstream, upstreamKey));
    }
    if (victims.size() < MAX_REPORTED_VICTIMS) {
      List<String> reportedSubjects = subjects.all().stream().limit(MAX_REPORTED_SUBJECTS).toList();
      victims.put(requestId, new CrashVictim(requestId, reportedSubjects));
    }
  }

  private void checkUpstream(UpstreamInstance upstream, String upstreamKey) {
    client.checkAccepting(
        upstreamKey,
        upstream.address(),
        accepting -> {
          Map<String, CrashVictim> victims = victimsByUpstream.remove(upstreamKey);
          if (!accepting && victims != null) {
            reportCrash(upstreamKey, List.copyOf(victims.values()));
          }
        });
  }

  private void reportCrash(String upstreamKey, List<CrashVictim> victims) {
    log.event(GatewayEvent.UPSTREAM_CRASHED)
        .with("upstream", upstreamKey)
        .with("requests", victims.stream().map(CrashVictim::requestId).toList())
        .with("subjects", victims.stream().map(CrashVictim::subjects).toList())
        .write();
    exchange.publish(Kind.UPSTREAM_CRASHED, upstreamKey, 0, encode(victims));
    List<String> culprits = quarantine.upstreamCrashed(upstreamKey, victims, loop.now());
    for (String subject : culprits) {
      Duration trialDelay = quarantine.trialDelay(subject);
      exchange.publish(Kind.SUBJECT_QUARANTINED, subject, trialDelay.toMillis(), List.of());
      enforce(subject, "crashes reported here");
      store(subject);
    }
  }

  private static List<String> encode(List<CrashVictim> victims) {
    List<String> encoded = new ArrayList<>();
    for (CrashVictim victim : victims) {
      List<String> fields = new ArrayList<>(List.of(victim.requestId()));
      fields.addAll(victim.subjects());
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
        .upstreamCrashed(observation.subject(), victims, crashedAt)
        .forEach(
            subject -> {
              enforce(subject, "crashes reported by " + observation.origin());
              storeIfMissing(subject);
            });
  }

  private void onQuarantineReported(Message.Observation observation) {
    String subject = observation.subject();
    boolean known = quarantine.isQuarantined(subject);
    quarantine.quarantine(subject, Duration.ofMillis((long) observation.value()), loop.now());
    if (!known) {
      enforce(subject, "reported by " + observation.origin());
      storeIfMissing(subject);
    }
  }

  private void onAnswerReported(Message.Observation observation) {
    boolean released = quarantine.isQuarantined(observation.subject());
    quarantine.answered(List.of(observation.subject()));
    if (released) {
      afterRelease(observation.subject(), "answered at " + observation.origin());
    }
  }

  /** Records a sound answer, which shows that no subject of its request crashes upstreams. */
  void answered(CrashSubjects requestSubjects) {
    if (quarantine.isIdle()) {
      return;
    }
    List<String> subjects = requestSubjects.all();
    List<String> quarantinedSubjects = subjects.stream().filter(quarantine::isQuarantined).toList();
    for (String subject : quarantine.answered(subjects)) {
      exchange.publish(Kind.SUBJECT_ANSWERED, subject, 0, List.of());
    }
    for (String subject : quarantinedSubjects) {
      afterRelease(subject, "answered here");
      removeFromStore(subject);
    }
  }

  /** Quarantines a subject for longer after its trial request has crashed an upstream. */
  void trialFailed(String subject) {
    if (quarantine.isQuarantined(subject)) {
      long trialMillis = quarantine.trialDelay(subject).toMillis();
      exchange.publish(Kind.SUBJECT_QUARANTINED, subject, trialMillis, List.of());
      store(subject);
    }
  }

  private void enforce(String subject, String reason) {
    releaseTimes.remove(subject);
    outdatedSubjects.remove(subject);
    log.event(GatewayEvent.SUBJECT_QUARANTINED)
        .with("subject", subject)
        .with("reason", reason)
        .with("trial_delay_ms", quarantine.trialDelay(subject).toMillis())
        .write();
    for (PendingRequest request : List.copyOf(pendingRequests)) {
      if (request.subjects().contains(subject)) {
        request.onQuarantined(subject);
      }
    }
  }

  private void afterRelease(String subject, String reason) {
    releaseTimes.remove(subject);
    releaseTimes.put(subject, loop.now());
    if (releaseTimes.size() > MAX_RELEASES) {
      releaseTimes.remove(releaseTimes.keySet().iterator().next());
    }
    exchange.withdraw(Kind.SUBJECT_QUARANTINED, subject);
    log.event(GatewayEvent.SUBJECT_RELEASED)
        .with("subject", subject)
        .with("reason", reason)
        .write();
  }

  private void storeIfMissing(String subject) {
    afterOthers(
        () -> {
          if (!storedSubjects.contains(subject)) {
            store(subject);
          }
        });
  }

  /** Runs a task after another gateway had time to make it needless. */
  private void afterOthers(Runnable task) {
    int spreadMillis = Math.floorMod(Hashing.of(control.self().name()), MAX_DELAY_SPREAD_MILLIS);
    loop.after(MISSING_ENTRY_DELAY.plusMillis(spreadMillis), task);
  }

  private void removeFromStore(String subject) {
    if (quarantine.isQuarantined(subject)) {
      return;
    }
    feed.release(subject)
        .whenComplete(
            (done, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        loop.after(WRITE_RETRY_DELAY, () -> removeFromStore(subject));
                      }
                    }));
  }

  private void store(String subject) {
    if (!quarantine.isQuarantined(subject)) {
      return;
    }
    feed.quarantine(subject, quarantine.trialDelay(subject), ENTRY_LIFETIME)
        .whenComplete(
            (done, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        loop.after(WRITE_RETRY_DELAY, () -> store(subject));
                      }
                    }));
  }

  @Override
  public void onQuarantined(String subject, Duration trialDelay) {
    storedSubjects.add(subject);
    boolean known = quarantine.isQuarantined(subject);
    quarantine.quarantine(subject, trialDelay, loop.now());
    if (!known) {
      enforce(subject, "listed in the store");
    }
  }

  @Override
  public void onReleased(String subject) {
    storedSubjects.remove(subject);
    outdatedSubjects.remove(subject);
    if (quarantine.release(subject)) {
      afterRelease(subject, "no longer listed in the store");
    }
  }

  @Override
  public void onSnapshot(Map<String, Duration> trialDelaysBySubject, boolean restored) {
    if (restored) {
      reconcile(trialDelaysBySubject);
      return;
    }
    trialDelaysBySubject.forEach(
        (subject, trialDelay) -> {
          if (!outdatedSubjects.contains(subject)) {
            onQuarantined(subject, trialDelay);
          }
        });
    for (String subject : List.copyOf(storedSubjects)) {
      if (!trialDelaysBySubject.containsKey(subject)) {
        onReleased(subject);
      }
    }
  }

  /**
   * Brings a store that was restored from a copy to what this gateway knows: subjects that it lacks
   * are written again, and subjects that were released meanwhile are removed again.
   */
  private void reconcile(Map<String, Duration> trialDelaysBySubject) {
    storedSubjects.clear();
    storedSubjects.addAll(trialDelaysBySubject.keySet());
    outdatedSubjects.clear();
    long now = loop.now();
    releaseTimes.values().removeIf(time -> now - time > ENTRY_LIFETIME.toNanos());
    trialDelaysBySubject.forEach(
        (subject, trialDelay) -> {
          if (releaseTimes.containsKey(subject)) {
            outdatedSubjects.add(subject);
            removeOutdated(subject);
          } else {
            onQuarantined(subject, trialDelay);
          }
        });
    for (String subject : quarantine.quarantinedSubjects()) {
      if (!storedSubjects.contains(subject)) {
        if (control.ranksFirst(subject)) {
          store(subject);
        } else {
          storeIfMissing(subject);
        }
      }
    }
  }

  private void removeOutdated(String subject) {
    if (control.ranksFirst(subject)) {
      removeFromStore(subject);
    } else {
      afterOthers(
          () -> {
            if (outdatedSubjects.contains(subject)) {
              removeFromStore(subject);
            }
          });
    }
  }
}
