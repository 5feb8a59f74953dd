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

  private static final class Suspect {
    private final Map<String, Long> crashTimeByEngine = new LinkedHashMap<>();
    private final Set<String> requestIds = new LinkedHashSet<>();

    private int episodes(long now) {
      List<Long> times = new ArrayList<>(crashTimeByEngine.values());
      times.removeIf(time -> now - time > MAX_AGE.toNanos());
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
  }

  private final Map<String, Suspect> suspectsByPart = new LinkedHashMap<>();

  /** Times of crashes that a quarantined part explains, by engine. */
  private final Map<String, Long> explainedCrashes = new HashMap<>();

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
    if (explainedCrashes.containsKey(engine)) {
      return;
    }
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

  /** Records that the crash of an engine has a known cause, so that no other part is suspected. */
  void explained(String engine, long now) {
    explainedCrashes.values().removeIf(time -> now - time > MAX_AGE.toNanos());
    explainedCrashes.put(engine, now);
    suspectsByPart.values().forEach(suspect -> suspect.crashTimeByEngine.remove(engine));
    suspectsByPart.values().removeIf(suspect -> suspect.crashTimeByEngine.isEmpty());
  }

  /** Records a sound answer to a prompt with a part, which clears the part. */
  void cleared(String part) {
    suspectsByPart.remove(part);
  }

  /** Removes a part and returns the engines whose crashes it explains. */
  Set<String> remove(String part) {
    Suspect suspect = suspectsByPart.remove(part);
    return suspect == null ? Set.of() : Set.copyOf(suspect.crashTimeByEngine.keySet());
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
    return suspect == null ? 0 : suspect.crashTimeByEngine.size();
  }

  /** Returns the parts that at least the given number of different requests contained. */
  List<String> partsWithRequests(int minRequests) {
    return suspectsByPart.entrySet().stream()
        .filter(entry -> entry.getValue().requestIds.size() >= minRequests)
        .map(Map.Entry::getKey)
        .toList();
  }
}
