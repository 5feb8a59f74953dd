package org.oriolewell.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.oriolewell.core.membership.Member;

/** Selects the bounded part of a pool that one process uses. */
final class Subset {
  /** Fewer members than this in the own region let the subset include other regions. */
  static final int MIN_LOCAL = 2;

  private Subset() {}

  /** Returns 0 for the same zone, 1 for the same region, 2 for another region. */
  static int tier(Member member, Place here) {
    if (member.zone().equals(here.zone())) {
      return 0;
    }
    return member.region().equals(here.region()) ? 1 : 2;
  }

  /**
   * Selects members: those of the zone first, then those of the region, and other regions only
   * while the region has fewer than {@link #MIN_LOCAL}. Within a tier, the rendezvous rank by
   * process spreads processes over upstreams and changes little when members change.
   */
  static List<Member> select(
      Collection<Member> members, Place here, long process, RouterSettings settings) {
    List<Ranked> ranked = new ArrayList<>(members.size());
    for (Member member : members) {
      ranked.add(
          new Ranked(member, tier(member, here), Hashing.rank(process, Hashing.of(member.name()))));
    }
    ranked.sort(
        Comparator.comparingInt(Ranked::tier)
            .thenComparing(Comparator.comparingLong(Ranked::rank).reversed())
            .thenComparing(r -> r.member().name()));
    List<Member> result = new ArrayList<>();
    int remote = 0;
    for (Ranked candidate : ranked) {
      if (candidate.tier() < 2 && result.size() < settings.subsetSize()) {
        result.add(candidate.member());
      } else if (candidate.tier() == 2
          && result.size() - remote < MIN_LOCAL
          && remote < settings.maxRemoteUpstreams()) {
        result.add(candidate.member());
        remote++;
      }
    }
    return result;
  }

  private record Ranked(Member member, int tier, long rank) {}
}
