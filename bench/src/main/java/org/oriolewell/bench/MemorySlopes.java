package org.oriolewell.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import org.oriolewell.core.admission.Admission;
import org.oriolewell.core.admission.AdmissionSettings;
import org.oriolewell.core.admission.ConcurrencyLimit;
import org.oriolewell.core.admission.Ending;
import org.oriolewell.core.admission.OfferedCall;
import org.oriolewell.core.admission.Shares;
import org.oriolewell.core.deadline.DeadlinePlanner;
import org.oriolewell.core.deadline.StageKey;
import org.oriolewell.core.membership.Member;
import org.oriolewell.core.membership.MemberState;
import org.oriolewell.core.membership.Membership;
import org.oriolewell.core.membership.MembershipSettings;
import org.oriolewell.core.membership.Proposal;
import org.oriolewell.core.retry.RetryBudget;
import org.oriolewell.core.retry.RetryBudgetSettings;
import org.oriolewell.core.routing.CacheEvent;
import org.oriolewell.core.routing.Place;
import org.oriolewell.core.routing.Router;
import org.oriolewell.core.routing.RouterSettings;

/**
 * Prints the heap bytes that each kind of state takes per element, from the heap in use after a
 * full collection with 1,000 and with 20,000 elements. The lowest of five rounds is printed with
 * the highest, since other threads of the virtual machine allocate too.
 */
public final class MemorySlopes {
  private static final int FEW = 1_000;
  private static final int MANY = 4_000;
  private static final long FAR = Long.MAX_VALUE / 4;

  private MemorySlopes() {}

  /** Measures and prints; takes no arguments. */
  public static void main(String[] args) {
    print("membership, per upstream", MemorySlopes::membership);
    print("router, per upstream of a subset", MemorySlopes::subset);
    print("router, per cache claim (at most 4096)", MemorySlopes::claims);
    print("admission, per workspace", MemorySlopes::workspaces);
    print("admission, per waiting call", count -> calls(count, 1));
    print("admission, per running call", count -> calls(count, count));
    print("deadline, per stage", MemorySlopes::stages);
    print("retry, per pipeline", MemorySlopes::pipelines);
  }

  private static void print(String name, IntFunction<Object> state) {
    double[] slopes = new double[9];
    for (int round = 0; round < slopes.length; round++) {
      slopes[round] = (double) (used(state, MANY) - used(state, FEW)) / (MANY - FEW);
    }
    Arrays.sort(slopes);
    System.out.printf(
        Locale.ROOT, "| %s | %.0f (%.0f–%.0f) |%n", name, slopes[4], slopes[0], slopes[8]);
  }

  private static long used(IntFunction<Object> state, int count) {
    long before = heap();
    Object kept = state.apply(count);
    long after = heap();
    return kept.hashCode() == 0 ? 0 : after - before;
  }

  private static long heap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static Object membership(int count) {
    Membership membership =
        Membership.create(MembershipSettings.defaults(), new SplittableRandom(1));
    List<Proposal> proposals = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      proposals.add(new Proposal("host-" + i, "zone", "region", false));
    }
    membership.propose(proposals);
    return membership;
  }

  private static Object subset(int count) {
    RouterSettings base = RouterSettings.defaults();
    RouterSettings all =
        new RouterSettings(
            count,
            0,
            1,
            1,
            base.otherZoneCostFactor(),
            base.latencyDecayTime(),
            base.failuresToEject(),
            base.baseEjectionTime(),
            base.slowStartWindow(),
            base.panicThreshold(),
            base.maxRelativeLoad());
    Router router =
        Router.create("pool", all, new Place("z", "r"), "entry", new SplittableRandom(1));
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new Member("host-" + i, "a", "z", "r", MemberState.UP));
    }
    router.update(members, 0);
    return router;
  }

  private static Object claims(int count) {
    Router router = (Router) subset(1);
    for (int i = 1; i <= count; i++) {
      router.cacheEvent(new CacheEvent("host-0", i, i, true), 0);
    }
    return router;
  }

  private static Admission<Long> admission(int maxQueued, int limit) {
    return Admission.create(new AdmissionSettings(maxQueued, 1), ConcurrencyLimit.fixed(limit));
  }

  private static OfferedCall<Long> work(long call, String workspace) {
    return new OfferedCall<>(call, "firm", workspace, 5, "operation", FAR);
  }

  private static Object workspaces(int count) {
    Admission<Long> admission = admission(count, count + 1);
    for (long i = 0; i < count; i++) {
      admission.offer(work(i, "workspace-" + i), 0);
    }
    for (long i = 0; i < count; i++) {
      admission.finished(i, Ending.CANCELED, 0);
    }
    admission.shares(new Shares(Map.of(), Map.of()));
    return admission;
  }

  private static Object calls(int count, int limit) {
    Admission<Long> admission = admission(count, limit);
    for (long i = 0; i < count; i++) {
      admission.offer(work(i, "workspace"), 0);
    }
    return admission;
  }

  private static Object stages(int count) {
    DeadlinePlanner planner = DeadlinePlanner.create();
    for (int i = 0; i < count; i++) {
      planner.observed(new StageKey("pipeline", "stage-" + i, 0), 1_000_000);
    }
    return planner;
  }

  private static Object pipelines(int count) {
    RetryBudget budget = RetryBudget.create(RetryBudgetSettings.defaults());
    for (int i = 0; i < count; i++) {
      budget.attempted("pipeline-" + i);
    }
    return budget;
  }
}
