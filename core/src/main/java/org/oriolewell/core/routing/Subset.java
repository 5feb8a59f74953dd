package org.oriolewell.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.oriolewell.core.membership.Member;

/** Selects the upstreams of a pool that one process uses; their number is bounded. */
final class Subset {
  /**
   * Number of selected members of the own region below which members of other regions are added.
   */
  static final int MIN_LOCAL_MEMBERS = 2;

  private Subset() {}

  /**
   * Returns the distance of a member: 0 for the same zone, 1 for the same region, 2 for another
   * region.
   */
  static int tier(Member member, Place ownPlace) {
    if (member.zone().equals(ownPlace.zone())) {
      return 0;
    }
    return member.region().equals(ownPlace.region()) ? 1 : 2;
  }

  /**
   * Selects members: those of the zone first, then those of the region, and those of other regions
   * only while the region has fewer than {@link #MIN_LOCAL_MEMBERS}. Within a tier, the rendezvous
   * rank for this process spreads processes over upstreams and changes little when members change.
   */
  static List<Member> select(
      Collection<Member> members, Place ownPlace, long processHash, RouterSettings settings) {
    List<RankedMember> ranked = new ArrayList<>(members.size());
    for (Member member : members) {
      ranked.add(
          new RankedMember(
              member,
              tier(member, ownPlace),
              Hashing.rank(processHash, Hashing.of(member.name()))));
    }
    ranked.sort(
        Comparator.comparingInt(RankedMember::tier)
            .thenComparing(Comparator.comparingLong(RankedMember::rank).reversed())
            .thenComparing(entry -> entry.member().name()));
    List<Member> selected = new ArrayList<>();
    int remoteCount = 0;
    for (RankedMember candidate : ranked) {
      if (candidate.tier() < 2 && selected.size() < settings.subsetSize()) {
        selected.add(candidate.member());
      } else if (candidate.tier() == 2
          && selected.size() - remoteCount < MIN_LOCAL_MEMBERS
          && remoteCount < settings.maxRemoteUpstreams()) {
        selected.add(candidate.member());
        remoteCount++;
      }
    }
    return selected;
  }

  private record RankedMember(Member member, int tier, long rank) {}
}
