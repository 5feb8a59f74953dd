package org.oriolewell.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The crashes of engines at which each prompt part was present, since the last sound answer to a
 * prompt with that part. Bounded in size, since callers choose the parts.
 */
final class CrashEvidence {
  /** Age from which a crash no longer counts. */
  private static final Duration MAX_AGE = Duration.ofSeconds(60);

  /**
   * Crashes of several engines within this time count as one: the loss of a host or a rack ends all
   * engines there at the same moment, whatever they are running.
   */
  private static final Duration EPISODE_TIME = Duration.ofMillis(250);

  /** Most parts that are kept; those that crashed first are dropped. */
  static final int MAX_PARTS = 4096;

  /** Most victims of one crash that are counted. */
  private static final int MAX_VICTIMS = 256;

  /** Most parts of one prompt that are counted. */
  private static final int MAX_PARTS_PER_PROMPT = 32;

  /** Most engines and request ids that are kept for one part. */
  private static final int MAX_ENTRIES_PER_PART = 32;

  /** The part that explains a crash, while it is quarantined, and when that was found. */
  private record Explanation(String part, long foundAt) {}

  private final class Suspect {
    private final Map<String, Long> crashTimeByEngine = new LinkedHashMap<>();
    private final Set<String> requestIds = new LinkedHashSet<>();

    private int episodes(long now) {
      List<Long> times = new ArrayList<>();
      crashTimeByEngine.forEach(
          (engine, time) -> {
            if (!explanationsByEngine.containsKey(engine) && now - time <= MAX_AGE.toNanos()) {
              times.add(time);
            }
          });
      times.sort(Comparator.naturalOrder());
      int episodes = 0;
      long episodeStart = 0;
      for (long time : times) {
        if (episodes == 0 || time - episodeStart >= EPISODE_TIME.toNanos()) {
          episodes++;
          episodeStart = time;
        }
      }
      return episodes;
    }

    private int unexplainedEngines() {
      return (int)
          crashTimeByEngine.keySet().stream()
              .filter(engine -> !explanationsByEngine.containsKey(engine))
              .count();
    }
  }

  private final Map<String, Suspect> suspectsByPart = new LinkedHashMap<>();

  /** Crashes that a quarantined part explains; they count against no other part. */
  private final Map<String, Explanation> explanationsByEngine = new HashMap<>();

  boolean isEmpty() {
    return suspectsByPart.isEmpty();
  }

  int size() {
    return suspectsByPart.size();
  }

  boolean contains(String part) {
    return suspectsByPart.containsKey(part);
  }

  /** Records the crash of an engine; another report of the same crash adds its victims. */
  void crashed(String engine, Collection<CrashVictim> victims, long now) {
    victims.stream().limit(MAX_VICTIMS).forEach(victim -> addVictim(engine, victim, now));
    while (suspectsByPart.size() > MAX_PARTS) {
      suspectsByPart.remove(suspectsByPart.keySet().iterator().next());
    }
  }

  private void addVictim(String engine, CrashVictim victim, long now) {
    victim.promptParts().stream()
        .limit(MAX_PARTS_PER_PROMPT)
        .map(part -> suspectsByPart.computeIfAbsent(part, key -> new Suspect()))
        .filter(suspect -> suspect.crashTimeByEngine.size() < MAX_ENTRIES_PER_PART)
        .forEach(
            suspect -> {
              suspect.crashTimeByEngine.putIfAbsent(engine, now);
              suspect.requestIds.add(victim.requestId());
            });
  }

  /** Records that a quarantined part explains the crash of an engine. */
  void explained(String engine, String part, long now) {
    explanationsByEngine.values().removeIf(known -> now - known.foundAt() > MAX_AGE.toNanos());
    explanationsByEngine.put(engine, new Explanation(part, now));
  }

  /**
   * Records a sound answer to a prompt with a part, which clears the part: the crashes that it
   * seemed to explain count against the other parts again.
   */
  void cleared(String part) {
    suspectsByPart.remove(part);
    explanationsByEngine.values().removeIf(explanation -> explanation.part().equals(part));
  }

  /** Removes a part that is quarantined, which explains the crashes at which it was present. */
  void convicted(String part, long now) {
    Suspect suspect = suspectsByPart.remove(part);
    if (suspect != null) {
      suspect.crashTimeByEngine.keySet().forEach(engine -> explained(engine, part, now));
    }
  }

  /** Drops crashes that are too old to count. */
  void expire(long now) {
    for (Suspect suspect : suspectsByPart.values()) {
      suspect.crashTimeByEngine.values().removeIf(time -> now - time > MAX_AGE.toNanos());
    }
    suspectsByPart.values().removeIf(suspect -> suspect.crashTimeByEngine.isEmpty());
  }

  /** Returns the number of separate crashes that count against a part. */
  int crashes(String part, long now) {
    Suspect suspect = suspectsByPart.get(part);
    return suspect == null ? 0 : suspect.episodes(now);
  }

  /** Returns the number of different requests that count against a part. */
  int requests(String part) {
    Suspect suspect = suspectsByPart.get(part);
    return suspect == null ? 0 : suspect.requestIds.size();
  }

  /** Returns the number of engines that crashed while a part was present. */
  int engines(String part) {
    Suspect suspect = suspectsByPart.get(part);
    return suspect == null ? 0 : suspect.unexplainedEngines();
  }

  /** Returns the parts that at least the given number of different requests contained. */
  List<String> partsWithRequests(int minRequests) {
    return suspectsByPart.entrySet().stream()
        .filter(entry -> entry.getValue().requestIds.size() >= minRequests)
        .map(Map.Entry::getKey)
        .toList();
  }
}
