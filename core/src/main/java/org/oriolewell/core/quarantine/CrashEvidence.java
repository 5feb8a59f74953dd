package org.oriolewell.core.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The crashes of upstreams at which each subject was present, since the last sound answer to a
 * prompt with that subject. Bounded in size, since callers choose the subjects.
 */
final class CrashEvidence {
  /** Age from which a crash no longer counts against a part of prompts. */
  private static final Duration PART_MAX_AGE = Duration.ofSeconds(60);

  /**
   * Age from which a crash no longer counts against a whole request. Few requests have the same
   * fingerprint, so that one which comes once a minute is found, too.
   */
  private static final Duration REQUEST_MAX_AGE = Duration.ofMinutes(10);

  /**
   * Crashes of several upstreams within this time count as one: the loss of a host or a rack ends
   * all upstreams there at the same moment, whatever they are running.
   */
  private static final Duration EPISODE_TIME = Duration.ofMillis(250);

  /** Most subjects that are kept; those that crashed first are dropped. */
  static final int MAX_SUBJECTS = 4096;

  /** Most victims of one crash that are counted. */
  private static final int MAX_VICTIMS = 256;

  /** Most subjects of one prompt that are counted. */
  private static final int MAX_SUBJECTS_PER_REQUEST = 32;

  /** Most upstreams and request ids that are kept for one subject. */
  private static final int MAX_ENTRIES_PER_SUBJECT = 32;

  /** The subject that explains a crash, while it is quarantined, and when that was found. */
  private record Explanation(String subject, long foundAt) {}

  private final class Suspect {
    private final Map<String, Long> crashTimeByUpstream = new LinkedHashMap<>();
    private final Set<String> requestIds = new LinkedHashSet<>();
    private final long maxAgeNanos;

    private Suspect(String subject) {
      maxAgeNanos = (CrashSubject.isRequest(subject) ? REQUEST_MAX_AGE : PART_MAX_AGE).toNanos();
    }
  }

  private final Map<String, Suspect> suspectsBySubject = new LinkedHashMap<>();

  /** Crashes that a quarantined subject explains; they count against no other subject. */
  private final Map<String, Explanation> explanationsByUpstream = new HashMap<>();

  /** Requests that were sent again, among the suspects; null after a change of these. */
  private @Nullable List<Suspect> repeatedRequests;

  boolean isEmpty() {
    return suspectsBySubject.isEmpty();
  }

  int size() {
    return suspectsBySubject.size();
  }

  boolean contains(String subject) {
    return suspectsBySubject.containsKey(subject);
  }

  /** Records the crash of an upstream; another report of the same crash adds its victims. */
  void crashed(String upstream, Collection<CrashVictim> victims, long now) {
    repeatedRequests = null;
    victims.stream().limit(MAX_VICTIMS).forEach(victim -> addVictim(upstream, victim, now));
    while (suspectsBySubject.size() > MAX_SUBJECTS) {
      suspectsBySubject.remove(suspectsBySubject.keySet().iterator().next());
    }
  }

  private void addVictim(String upstream, CrashVictim victim, long now) {
    List<String> subjects = victim.subjects().stream().limit(MAX_SUBJECTS_PER_REQUEST).toList();
    for (String subject : subjects) {
      Suspect suspect = suspectsBySubject.remove(subject);
      suspect = suspect == null ? new Suspect(subject) : suspect;
      // Subjects of recent crashes are the last that are dropped.
      suspectsBySubject.put(subject, suspect);
      if (suspect.crashTimeByUpstream.size() < MAX_ENTRIES_PER_SUBJECT) {
        suspect.crashTimeByUpstream.putIfAbsent(upstream, now);
        suspect.requestIds.add(victim.requestId());
      }
    }
  }

  /** Records that a quarantined subject explains the crash of an upstream. */
  void explained(String upstream, String subject, long now) {
    explanationsByUpstream
        .values()
        .removeIf(known -> now - known.foundAt() > REQUEST_MAX_AGE.toNanos());
    explanationsByUpstream.put(upstream, new Explanation(subject, now));
  }

  /**
   * Records a sound answer to a request with a subject, which clears the subject: the crashes that
   * it seemed to explain count against the other subjects again.
   */
  void cleared(String subject) {
    repeatedRequests = null;
    suspectsBySubject.remove(subject);
    explanationsByUpstream.values().removeIf(explanation -> explanation.subject().equals(subject));
  }

  /** Removes a subject that is quarantined, which explains the crashes at which it was present. */
  void convicted(String subject, long now) {
    repeatedRequests = null;
    Suspect suspect = suspectsBySubject.remove(subject);
    if (suspect != null) {
      suspect.crashTimeByUpstream.keySet().forEach(upstream -> explained(upstream, subject, now));
    }
  }

  /** Drops crashes that are too old to count. */
  void expire(long now) {
    repeatedRequests = null;
    for (Suspect suspect : suspectsBySubject.values()) {
      suspect.crashTimeByUpstream.values().removeIf(time -> now - time > suspect.maxAgeNanos);
    }
    suspectsBySubject.values().removeIf(suspect -> suspect.crashTimeByUpstream.isEmpty());
  }

  /** Returns the number of separate crashes that count against a subject. */
  int crashes(String subject, long now) {
    Suspect suspect = suspectsBySubject.get(subject);
    if (suspect == null) {
      return 0;
    }
    List<Long> times =
        countingUpstreams(subject).stream()
            .map(suspect.crashTimeByUpstream::get)
            .filter(time -> now - time <= suspect.maxAgeNanos)
            .sorted()
            .toList();
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

  /** Returns the number of different requests that count against a subject. */
  int requests(String subject) {
    Suspect suspect = suspectsBySubject.get(subject);
    return suspect == null ? 0 : suspect.requestIds.size();
  }

  /** Returns the number of upstreams whose crashes count against a subject. */
  int upstreams(String subject) {
    return countingUpstreams(subject).size();
  }

  /**
   * Returns the upstreams whose crashes count against a subject: those that no quarantined subject
   * explains. Against a prompt part, the crashes at which one repeated request was present count as
   * one, since that request explains them as well.
   */
  private Set<String> countingUpstreams(String subject) {
    Suspect suspect = suspectsBySubject.get(subject);
    if (suspect == null) {
      return Set.of();
    }
    Set<String> upstreams = new LinkedHashSet<>(suspect.crashTimeByUpstream.keySet());
    upstreams.removeAll(explanationsByUpstream.keySet());
    if (!CrashSubject.isRequest(subject)) {
      List<String> underOneRequest =
          repeatedRequests().stream()
              .map(request -> request.crashTimeByUpstream.keySet())
              .map(keys -> keys.stream().filter(upstreams::contains).toList())
              .max(Comparator.comparingInt(List::size))
              .orElse(List.of());
      underOneRequest.stream().skip(1).forEach(upstreams::remove);
    }
    return upstreams;
  }

  /** Returns whether one request that was sent again was present at several crashes. */
  boolean hasRepeatedRequest() {
    return repeatedRequests().stream().anyMatch(request -> request.crashTimeByUpstream.size() > 1);
  }

  private List<Suspect> repeatedRequests() {
    List<Suspect> known = repeatedRequests;
    if (known == null) {
      known =
          suspectsBySubject.entrySet().stream()
              .filter(entry -> CrashSubject.isRequest(entry.getKey()))
              .map(Map.Entry::getValue)
              .filter(suspect -> suspect.requestIds.size() > 1)
              .toList();
      repeatedRequests = known;
    }
    return known;
  }

  /** Returns the subjects that at least the given number of different requests contained. */
  List<String> subjectsWithRequests(int minRequests) {
    return suspectsBySubject.entrySet().stream()
        .filter(entry -> entry.getValue().requestIds.size() >= minRequests)
        .map(Map.Entry::getKey)
        .toList();
  }
}
