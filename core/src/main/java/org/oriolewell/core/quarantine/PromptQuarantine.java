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
 * Finds the prompt part that crashes model engines and holds back the requests that contain it.
 *
 * <p>Load pattern: requests that share one prompt part, each with an id of its own and from
 * different callers, crash every engine that begins to answer one of them. A retry budget doesn't
 * limit them, since each is a first attempt, and the failure score of an engine is lost with the
 * engine. Without a memory of the part (the plain baseline), all engines crash one after the other.
 *
 * <p>Every crash is evidence against the parts of all requests that the engine was running, and
 * most of them are innocent. A sound answer to a prompt clears all its parts. A part is quarantined
 * if it was present at {@value #CRASHES_FOR_QUARANTINE} separate crashes without a sound answer
 * since the first of them, and the evidence against no other part is stronger. A quarantined part
 * gets single trial requests, at intervals that double; a sound answer ends the quarantine.
 *
 * <p>Evidence may arrive late, repeatedly and in any order. Times are monotonic, in nanoseconds.
 * Not thread-safe.
 */
public final class PromptQuarantine {
  /** Separate crashes after which a part is quarantined. */
  static final int CRASHES_FOR_QUARANTINE = 3;

  /**
   * Separate crashes after which parts are quarantined that the evidence does not tell apart; with
   * fewer, another crash or a sound answer is awaited.
   */
  private static final int CRASHES_FOR_TIED_PARTS = 4;

  /** Different requests that the evidence against a part must contain. */
  private static final int MIN_REQUESTS = 2;

  /** Time until the first trial request of a quarantined part. */
  public static final Duration FIRST_TRIAL_DELAY = Duration.ofMinutes(2);

  /** Longest time between trial requests; an entry in the store has to outlast it. */
  public static final Duration MAX_TRIAL_DELAY = Duration.ofMinutes(8);

  /** Most parts in quarantine; the oldest are dropped. */
  static final int MAX_QUARANTINED = 256;

  private static final class Entry {
    private Duration trialDelay;
    private long nextTrialAt;

    private Entry(Duration trialDelay, long now) {
      this.trialDelay = trialDelay;
      this.nextTrialAt = now + trialDelay.toNanos();
    }
  }

  /** Whether a request may be sent to an engine. */
  public sealed interface Decision {
    /** None of the request's parts is quarantined. */
    record Admit() implements Decision {}

    /**
     * The request is the next trial of a quarantined part.
     *
     * @param part id of the part
     */
    record Trial(String part) implements Decision {}

    /**
     * The request is refused.
     *
     * @param part id of the quarantined part
     * @param retryAfter time until the next trial of the part
     */
    record HoldBack(String part, Duration retryAfter) implements Decision {}
  }

  private static final Decision ADMIT = new Decision.Admit();

  private final CrashEvidence evidence = new CrashEvidence();
  private final Map<String, Entry> entriesByPart = new LinkedHashMap<>();

  private PromptQuarantine() {}

  /** Returns a quarantine without parts and without evidence. */
  public static PromptQuarantine create() {
    return new PromptQuarantine();
  }

  /**
   * Records the crash of an engine.
   *
   * @param engine identifies one start of one engine; several gateways report the same crash
   * @param victims requests of one gateway that the engine was running and that had not been
   *     answered soundly
   * @return the parts that are quarantined from now on
   */
  public List<String> engineCrashed(String engine, Collection<CrashVictim> victims, long now) {
    evidence.expire(now);
    evidence.crashed(engine, victims, now);
    Optional<String> explanation =
        victims.stream()
            .flatMap(victim -> victim.promptParts().stream())
            .filter(entriesByPart::containsKey)
            .findFirst();
    if (explanation.isPresent()) {
      evidence.explained(engine, explanation.get(), now);
      return List.of();
    }
    List<String> culprits = culprits(now);
    culprits.forEach(part -> quarantine(part, FIRST_TRIAL_DELAY, now));
    return culprits;
  }

  /**
   * Returns the parts that the evidence points to: those present at the crashes of the most engines
   * and, among these, in the fewest requests. The part at fault is present at each crash, mostly in
   * one request; a popular part is in several requests of each engine.
   */
  private List<String> culprits(long now) {
    List<String> strongest = new ArrayList<>();
    int mostEngines = 0;
    int fewestRequests = 0;
    for (String part : evidence.partsWithRequests(MIN_REQUESTS)) {
      int engines = evidence.engines(part);
      int requests = evidence.requests(part);
      boolean equal = engines == mostEngines && requests == fewestRequests;
      if (engines > mostEngines || (engines == mostEngines && requests < fewestRequests)) {
        strongest.clear();
        mostEngines = engines;
        fewestRequests = requests;
        equal = true;
      }
      if (equal) {
        strongest.add(part);
      }
    }
    int neededCrashes = strongest.size() == 1 ? CRASHES_FOR_QUARANTINE : CRASHES_FOR_TIED_PARTS;
    return strongest.stream().filter(part -> evidence.crashes(part, now) >= neededCrashes).toList();
  }

  /**
   * Puts a part into quarantine, on this gateway's evidence or since the store or another gateway
   * says so.
   *
   * @param trialDelay time until the first trial request
   */
  public void quarantine(String part, Duration trialDelay, long now) {
    evidence.convicted(part, now);
    Entry existing = entriesByPart.get(part);
    if (existing == null || !existing.trialDelay.equals(trialDelay)) {
      entriesByPart.put(part, new Entry(trialDelay, now));
    }
    while (entriesByPart.size() > MAX_QUARANTINED) {
      entriesByPart.remove(entriesByPart.keySet().iterator().next());
    }
  }

  /** Returns whether a part is in quarantine. */
  public boolean isQuarantined(String part) {
    return entriesByPart.containsKey(part);
  }

  /** Ends the quarantine of a part; returns whether it was quarantined. */
  public boolean release(String part) {
    evidence.cleared(part);
    return entriesByPart.remove(part) != null;
  }

  /**
   * Records a sound answer to a prompt, which clears its parts.
   *
   * @return the parts that were suspected or quarantined before
   */
  public List<String> answered(List<String> parts) {
    if (evidence.isEmpty() && entriesByPart.isEmpty()) {
      return List.of();
    }
    List<String> clearedParts =
        parts.stream()
            .filter(part -> evidence.contains(part) || entriesByPart.containsKey(part))
            .toList();
    clearedParts.forEach(this::release);
    return clearedParts;
  }

  /**
   * Returns whether a request whose engine has crashed may be sent to another engine: not if one of
   * its parts was present at an earlier crash and has not been cleared since.
   */
  public boolean mayRepeat(List<String> parts) {
    return evidence.isEmpty() || parts.stream().noneMatch(evidence::contains);
  }

  /**
   * Decides whether a request may be sent to an engine.
   *
   * @param parts ids of the parts of its prompt that other requests may share
   * @param ownsTrials whether this gateway is the one that sends the trials of a part
   */
  public Decision decide(List<String> parts, Predicate<String> ownsTrials, long now) {
    if (entriesByPart.isEmpty()) {
      return ADMIT;
    }
    List<String> quarantined =
        parts.stream().filter(entriesByPart::containsKey).distinct().toList();
    Entry entry = quarantined.isEmpty() ? null : entriesByPart.get(quarantined.get(0));
    if (entry == null) {
      return ADMIT;
    }
    String part = quarantined.get(0);
    boolean trialDue = now - entry.nextTrialAt >= 0;
    boolean onlyPart = quarantined.size() == 1;
    if (trialDue && onlyPart && ownsTrials.test(part)) {
      entry.trialDelay = doubled(entry.trialDelay);
      entry.nextTrialAt = now + entry.trialDelay.toNanos();
      return new Decision.Trial(part);
    }
    Duration untilTrial = Duration.ofNanos(Math.max(0, entry.nextTrialAt - now));
    return new Decision.HoldBack(part, trialDue ? entry.trialDelay : untilTrial);
  }

  private static Duration doubled(Duration delay) {
    Duration twice = delay.multipliedBy(2);
    return twice.compareTo(MAX_TRIAL_DELAY) > 0 ? MAX_TRIAL_DELAY : twice;
  }

  /** Returns the time between trials of a part; the first delay if it is not in quarantine. */
  public Duration trialDelay(String part) {
    Entry entry = entriesByPart.get(part);
    return entry == null ? FIRST_TRIAL_DELAY : entry.trialDelay;
  }

  /** Returns the number of parts against which there is evidence. */
  int evidenceSize() {
    return evidence.size();
  }

  /** Returns the quarantined parts. */
  public List<String> quarantinedParts() {
    return List.copyOf(entriesByPart.keySet());
  }
}
