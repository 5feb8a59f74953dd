package org.oriolewell.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Finds what crashes upstreams, and holds back the requests that contain it. Such a subject is a
 * part of prompts or a whole request that callers send again ({@link CrashSubject}).
 *
 * <p>Load pattern: requests that share one subject, each with an id of its own and at any gateway,
 * crash every upstream that begins to run one of them. A retry budget doesn't limit them, since
 * each is a first attempt, and the failure score of an upstream is lost with the upstream. Without
 * a memory of the subject (the plain baseline), all upstreams crash one after the other.
 *
 * <p>Every crash is evidence against the subjects of all requests that the upstream was running,
 * and most of them are innocent. A sound answer to a request clears all its subjects. A subject is
 * quarantined if it was present at {@value #CRASHES_FOR_QUARANTINE} separate crashes without a
 * sound answer since the first of them, and the evidence against no other subject is stronger. A
 * quarantined subject gets single trial requests, at intervals that double; a sound answer ends the
 * quarantine.
 *
 * <p>Evidence may arrive late, repeatedly and in any order. Times are monotonic, in nanoseconds.
 * Not thread-safe.
 */
public final class CrashQuarantine {
  /** Separate crashes after which a subject is quarantined. */
  static final int CRASHES_FOR_QUARANTINE = 3;

  /**
   * Separate crashes after which subjects are quarantined that the evidence does not tell apart;
   * with fewer, another crash or a sound answer is awaited.
   */
  private static final int CRASHES_FOR_TIED_SUBJECTS = 4;

  /** Different requests that the evidence against a subject must contain. */
  private static final int MIN_REQUESTS = 2;

  /** Time until the first trial request of a quarantined subject. */
  public static final Duration FIRST_TRIAL_DELAY = Duration.ofMinutes(2);

  /** Longest time between trial requests; an entry in the store has to outlast it. */
  public static final Duration MAX_TRIAL_DELAY = Duration.ofMinutes(8);

  /** Most subjects in quarantine; the oldest are dropped. */
  static final int MAX_QUARANTINED = 256;

  private static final class Entry {
    private Duration trialDelay;
    private long nextTrialAt;

    private Entry(Duration trialDelay, long now) {
      this.trialDelay = trialDelay;
      this.nextTrialAt = now + trialDelay.toNanos();
    }
  }

  /** Whether a request may be sent to an upstream. */
  public sealed interface Decision {
    /** None of the request's subjects is quarantined. */
    record Admit() implements Decision {}

    /**
     * The request is the next trial of a quarantined subject.
     *
     * @param subject id of the subject
     */
    record Trial(String subject) implements Decision {}

    /**
     * The request is refused.
     *
     * @param subject id of the quarantined subject
     * @param retryAfter time until the next trial of the subject
     */
    record HoldBack(String subject, Duration retryAfter) implements Decision {}
  }

  private static final Decision ADMIT = new Decision.Admit();

  private final CrashEvidence evidence = new CrashEvidence();
  private final Map<String, Entry> entriesBySubject = new LinkedHashMap<>();

  private CrashQuarantine() {}

  /** Returns a quarantine without subjects and without evidence. */
  public static CrashQuarantine create() {
    return new CrashQuarantine();
  }

  /**
   * Records the crash of an upstream.
   *
   * @param upstream identifies one start of one upstream; several gateways report the same crash
   * @param victims requests of one gateway that the upstream was running and that had not been
   *     answered soundly
   * @return the subjects that are quarantined from now on
   */
  public List<String> upstreamCrashed(String upstream, Collection<CrashVictim> victims, long now) {
    evidence.expire(now);
    evidence.crashed(upstream, victims, now);
    Optional<String> explanation =
        victims.stream()
            .flatMap(victim -> victim.subjects().stream())
            .filter(entriesBySubject::containsKey)
            .findFirst();
    if (explanation.isPresent()) {
      evidence.explained(upstream, explanation.get(), now);
      return List.of();
    }
    List<String> culprits = culprits(now);
    culprits.forEach(subject -> quarantine(subject, FIRST_TRIAL_DELAY, now));
    return culprits;
  }

  /** Returns the subjects that the evidence points to: whole requests before prompt parts. */
  private List<String> culprits(long now) {
    List<String> suspects = evidence.subjectsWithRequests(MIN_REQUESTS);
    List<String> requests =
        suspects.stream()
            .filter(CrashSubject::isRequest)
            .filter(subject -> evidence.crashes(subject, now) >= CRASHES_FOR_QUARANTINE)
            .toList();
    return requests.isEmpty()
        ? strongestParts(suspects.stream().filter(s -> !CrashSubject.isRequest(s)).toList(), now)
        : requests;
  }

  /**
   * Returns the prompt parts that were present at the crashes of the most upstreams and, among
   * these, in the fewest requests. The part at fault is present at each crash, mostly in one
   * request; a popular part is in several requests of each upstream.
   */
  private List<String> strongestParts(List<String> parts, long now) {
    List<String> strongest = new ArrayList<>();
    int mostUpstreams = 0;
    int fewestRequests = 0;
    for (String part : parts) {
      int upstreams = evidence.upstreams(part);
      int requests = evidence.requests(part);
      boolean equal = upstreams == mostUpstreams && requests == fewestRequests;
      if (upstreams > mostUpstreams || (upstreams == mostUpstreams && requests < fewestRequests)) {
        strongest.clear();
        mostUpstreams = upstreams;
        fewestRequests = requests;
        equal = true;
      }
      if (equal) {
        strongest.add(part);
      }
    }
    int neededCrashes =
        strongest.size() == 1 && !evidence.hasRepeatedRequest()
            ? CRASHES_FOR_QUARANTINE
            : CRASHES_FOR_TIED_SUBJECTS;
    return mostUpstreams < neededCrashes
        ? List.of()
        : strongest.stream().filter(part -> evidence.crashes(part, now) >= neededCrashes).toList();
  }

  /**
   * Puts a subject into quarantine, on this gateway's evidence or since the store or another
   * gateway says so.
   *
   * @param trialDelay time until the first trial request
   */
  public void quarantine(String subject, Duration trialDelay, long now) {
    evidence.convicted(subject, now);
    Entry existing = entriesBySubject.get(subject);
    if (existing == null || !existing.trialDelay.equals(trialDelay)) {
      entriesBySubject.put(subject, new Entry(trialDelay, now));
    }
    while (entriesBySubject.size() > MAX_QUARANTINED) {
      entriesBySubject.remove(entriesBySubject.keySet().iterator().next());
    }
  }

  /** Returns whether any subject is in quarantine. */
  public boolean anyQuarantined() {
    return !entriesBySubject.isEmpty();
  }

  /** Returns whether there is no evidence against any subject and none is in quarantine. */
  public boolean isIdle() {
    return evidence.isEmpty() && entriesBySubject.isEmpty();
  }

  /** Returns whether a subject is in quarantine. */
  public boolean isQuarantined(String subject) {
    return entriesBySubject.containsKey(subject);
  }

  /** Ends the quarantine of a subject; returns whether it was quarantined. */
  public boolean release(String subject) {
    evidence.cleared(subject);
    return entriesBySubject.remove(subject) != null;
  }

  /**
   * Records a sound answer to a request, which clears its subjects.
   *
   * @return the subjects that were suspected or quarantined before
   */
  public List<String> answered(List<String> subjects) {
    if (isIdle()) {
      return List.of();
    }
    List<String> clearedSubjects =
        subjects.stream()
            .filter(subject -> evidence.contains(subject) || entriesBySubject.containsKey(subject))
            .toList();
    clearedSubjects.forEach(this::release);
    return clearedSubjects;
  }

  /**
   * Returns whether a request whose upstream has crashed may be sent to another upstream: not if
   * one of its subjects was present at an earlier crash and has not been cleared since.
   */
  public boolean mayRepeat(List<String> subjects) {
    return evidence.isEmpty() || subjects.stream().noneMatch(evidence::contains);
  }

  /**
   * Decides whether a request may be sent to an upstream.
   *
   * @param subjects what the request has in common with others
   * @param ownsTrials whether this gateway is the one that sends the trials of a subject
   */
  public Decision decide(List<String> subjects, Predicate<String> ownsTrials, long now) {
    if (entriesBySubject.isEmpty()) {
      return ADMIT;
    }
    List<String> quarantined =
        subjects.stream().filter(entriesBySubject::containsKey).distinct().toList();
    Entry entry = quarantined.isEmpty() ? null : entriesBySubject.get(quarantined.get(0));
    if (entry == null) {
      return ADMIT;
    }
    String subject = quarantined.get(0);
    boolean trialDue = now - entry.nextTrialAt >= 0;
    boolean onlyPart = quarantined.size() == 1;
    if (trialDue && onlyPart && ownsTrials.test(subject)) {
      entry.trialDelay = doubled(entry.trialDelay);
      entry.nextTrialAt = now + entry.trialDelay.toNanos();
      return new Decision.Trial(subject);
    }
    Duration untilTrial = Duration.ofNanos(Math.max(0, entry.nextTrialAt - now));
    return new Decision.HoldBack(subject, trialDue ? entry.trialDelay : untilTrial);
  }

  private static Duration doubled(Duration delay) {
    Duration twice = delay.multipliedBy(2);
    return twice.compareTo(MAX_TRIAL_DELAY) > 0 ? MAX_TRIAL_DELAY : twice;
  }

  /** Returns the time between trials of a subject; the first delay if it is not in quarantine. */
  public Duration trialDelay(String subject) {
    Entry entry = entriesBySubject.get(subject);
    return entry == null ? FIRST_TRIAL_DELAY : entry.trialDelay;
  }

  /** Returns the number of subjects against which there is evidence. */
  int evidenceSize() {
    return evidence.size();
  }

  /** Returns the quarantined subjects. */
  public List<String> quarantinedSubjects() {
    return List.copyOf(entriesBySubject.keySet());
  }
}
