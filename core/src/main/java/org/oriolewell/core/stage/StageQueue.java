package org.oriolewell.core.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.StageService;

/**
 * Dispatches the pieces of one service's stages to its upstreams in one region.
 *
 * <p>Load pattern: a call costs a large fixed time besides its pieces, so one call a request
 * overloads the upstreams before the first burst. The queue gathers the pieces of all requests and
 * processes of the region and fills a call whenever an upstream is free. Under a burst the order is
 * what was begun, then what can still be on time, then rank, then the latest start. Results occupy
 * scarce space at their maker until they are freed, so a call takes only what fits.
 *
 * <p>A piece may be produced twice. A call that takes much longer than expected is therefore
 * repeated at another upstream, and the first result counts. Two dispatchers of one service at the
 * same moment make calls wait longer and change nothing else.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class StageQueue {
  /** Calls that a piece may be part of before it fails; a second repeat rarely helps. */
  private static final int MAX_TRIES = 3;

  /** A call is overdue after this multiple of its expected time; a slow upstream takes 4 times. */
  private static final double OVERDUE_FACTOR = 2.0;

  /** Added to the overdue time for the network and for transfers of inputs. */
  private static final Duration OVERDUE_MARGIN = Duration.ofMillis(150);

  /** Pause of an upstream after its first failure; doubles with each further one. */
  private static final Duration FIRST_PAUSE = Duration.ofMillis(400);

  /** Longest pause of an upstream that fails; its recovery is noticed within this time. */
  private static final Duration MAX_PAUSE = Duration.ofMillis(3200);

  /**
   * Wait for an upstream in the preferred zone before any other is taken, unless the work would
   * begin too late to be on time. Bytes that cross zones are paid for; about one call ends within
   * this time.
   */
  private static final Duration ZONE_PATIENCE = Duration.ofMillis(200);

  /** Time after which an announcement lapses; longer than the stages before it may take. */
  private static final Duration ANNOUNCED_TIME = Duration.ofSeconds(4);

  /** Space is scarce if the results of a full call take more than this share of it. */
  private static final double SCARCE_SPACE = 0.5;

  /**
   * Time after which late work is given up if it was never begun. Its inputs occupy space, and what
   * can still be on time goes first.
   */
  private static final Duration LATE_PATIENCE = Duration.ofMillis(1500);

  /**
   * Idle time of an upstream before a call is made for late work alone. A call can't be
   * interrupted, so one that serves only late work makes work late that arrives during it; until
   * then late work fills the free places of other calls.
   */
  private static final Duration LATE_IDLE = Duration.ofMillis(150);

  /** Pause after a refusal for lack of space, about the time in which results are read. */
  private static final Duration SPACE_PAUSE = Duration.ofMillis(150);

  /** Time for which a result is kept, before any was freed: an engine's time to its first token. */
  private static final Duration FIRST_HOLD = Duration.ofMillis(200);

  /** Weight of a new observation of that time; about the last twenty results count. */
  private static final double HOLD_WEIGHT = 0.05;

  private final StageService service;
  private final String serviceName;
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final Map<WorkId, Group> groups = new LinkedHashMap<>();
  private final Map<WorkId, Announced> announced = new HashMap<>();
  private final Map<Long, Call> calls = new HashMap<>();
  private long nextCall = 1;
  private double holdNanos = FIRST_HOLD.toNanos();

  /** Identifies work across the processes that hand it over. */
  private record WorkId(String origin, long ticket) {
    static WorkId of(StageWork work) {
      return new WorkId(work.origin(), work.ticket());
    }
  }

  private record Announced(int rank, long resultBytes, int pieces, long lapsesAt) {}

  /** What a change of the queue leads to. */
  public static final class Effects {
    private final Map<StageWork, List<PieceOutcome>> outcomes = new LinkedHashMap<>();
    private final List<String> unused = new ArrayList<>();

    private Effects() {}

    /** Returns the outcomes to report, by work. */
    public Map<StageWork, List<PieceOutcome>> outcomes() {
      return outcomes;
    }

    /** Returns handles of results that nobody will read. */
    public List<String> unused() {
      return unused;
    }

    private void report(StageWork work, PieceOutcome outcome) {
      outcomes.computeIfAbsent(work, w -> new ArrayList<>()).add(outcome);
    }
  }

  private static final class Group {
    private final StageWork work;
    private final List<Integer> waiting;
    private final Set<Integer> open;
    private final Map<Integer, Integer> tries = new HashMap<>();
    private final long addedAt;
    private boolean begun;

    private Group(StageWork work, long addedAt) {
      this.work = work;
      this.addedAt = addedAt;
      this.waiting = new ArrayList<>(work.pieces());
      this.open = new HashSet<>(work.pieces());
    }
  }

  private static final class Call {
    private final StageCall call;
    private final Server server;
    private final long startedAt;
    private boolean repeated;

    private Call(StageCall call, Server server, long startedAt) {
      this.call = call;
      this.server = server;
      this.startedAt = startedAt;
    }
  }

  private static final class Server {
    private UpstreamInstance instance;
    private final Map<String, Result> results = new HashMap<>();
    private int running;
    private long reservedBytes;
    private long resultBytes;
    private long idleSince;
    private long pausedUntil = Long.MIN_VALUE;
    private int failures;

    private Server(UpstreamInstance instance, long now) {
      this.instance = instance;
      this.idleSince = now;
    }

    private void pause(long now, Duration time) {
      pausedUntil = Math.max(pausedUntil, now + time.toNanos());
    }

    private void failed(long now) {
      long factor = 1L << Math.min(failures, 3);
      Duration time = FIRST_PAUSE.multipliedBy(factor);
      pause(now, time.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : time);
      failures++;
    }
  }

  private record Result(long bytes, long madeAt, long expiresAt) {}

  private StageQueue(String serviceName, StageService service) {
    this.serviceName = serviceName;
    this.service = service;
  }

  /** Returns an empty queue of a service. */
  public static StageQueue create(String serviceName, StageService service) {
    return new StageQueue(serviceName, service);
  }

  /** Replaces the list of upstreams; calls that run at a removed one go on. */
  public void upstreams(Collection<UpstreamInstance> instances, long now) {
    Set<String> present = new HashSet<>();
    for (UpstreamInstance instance : instances) {
      present.add(instance.id());
      Server known = servers.get(instance.id());
      if (known == null || !known.instance.sameStart(instance)) {
        servers.put(instance.id(), new Server(instance, now));
      } else {
        known.instance = instance;
      }
    }
    servers.keySet().retainAll(present);
  }

  /** Adds work. Work that was added before is ignored. */
  public void add(StageWork work, long now) {
    announced.remove(WorkId.of(work));
    groups.putIfAbsent(WorkId.of(work), new Group(work, now));
  }

  /**
   * Records work whose inputs are still being made, so that it counts as load. It ends with the
   * work of the same ticket, is withdrawn, or lapses: its origin may have handed it to another
   * dispatcher meanwhile.
   */
  public void announce(
      String origin, long ticket, int rank, long resultBytes, int pieces, long now) {
    announced.put(
        new WorkId(origin, ticket),
        new Announced(rank, resultBytes, pieces, now + ANNOUNCED_TIME.toNanos()));
  }

  /** Withdraws work that nobody waits for; results that still arrive become unused. */
  public void cancel(String origin, long ticket) {
    groups.remove(new WorkId(origin, ticket));
    announced.remove(new WorkId(origin, ticket));
  }

  /** Withdraws all work of a process that is gone. */
  public void cancelAll(String origin) {
    groups.keySet().removeIf(id -> id.origin().equals(origin));
    announced.keySet().removeIf(id -> id.origin().equals(origin));
  }

  /** Records that results were freed at their makers. */
  public void freed(Collection<String> handles, long now) {
    for (Server server : servers.values()) {
      for (String handle : handles) {
        Result result = server.results.get(handle);
        if (result != null) {
          double held = now - result.madeAt();
          holdNanos += (held - holdNanos) * HOLD_WEIGHT;
          forget(server, handle);
        }
      }
    }
  }

  private static void forget(Server server, String handle) {
    Result result = server.results.remove(handle);
    if (result != null) {
      server.resultBytes -= result.bytes();
    }
  }

  /** Returns the calls to make now; each is counted as running from here on. */
  public List<StageCall> nextCalls(long now) {
    List<StageCall> next = new ArrayList<>();
    List<Server> free = new ArrayList<>();
    for (Server server : servers.values()) {
      expireResults(server, now);
      if (server.running < service.slots() && now >= server.pausedUntil) {
        free.add(server);
      }
    }
    free.sort(Comparator.comparingLong(server -> server.resultBytes));
    for (Server server : free) {
      StageCall call = fill(server, now);
      if (call != null) {
        next.add(call);
      }
    }
    return next;
  }

  private @Nullable StageCall fill(Server server, long now) {
    List<StageCall.Item> items = new ArrayList<>();
    long space = service.resultSpaceBytes() - server.resultBytes - server.reservedBytes;
    long reserved = 0;
    boolean idleLong = now - server.idleSince >= LATE_IDLE.toNanos();
    for (Group group : ordered(server, now)) {
      if (items.isEmpty() && isLate(group, now) && !idleLong) {
        return null;
      }
      int places = service.batch() - items.size();
      if (places == 0) {
        break;
      }
      int count = piecesToTake(group, places, space - reserved);
      for (int i = 0; i < count; i++) {
        int piece = group.waiting.remove(0);
        group.tries.merge(piece, 1, Integer::sum);
        items.add(new StageCall.Item(group.work, piece));
      }
      group.begun |= count > 0;
      reserved += count * group.work.resultBytes();
    }
    if (items.isEmpty()) {
      return null;
    }
    StageCall call =
        new StageCall(nextCall++, server.instance, items, service.callTime(items.size()));
    calls.put(call.id(), new Call(call, server, now));
    server.running++;
    server.reservedBytes += reserved;
    return call;
  }

  /** Returns whether work may run here: in its preferred zone, or elsewhere after a short wait. */
  private boolean mayRunAt(Server server, Group group, long now) {
    return near(server, group)
        || now - group.addedAt >= ZONE_PATIENCE.toNanos()
        || now >= group.work.latestStart()
        || servers.values().stream()
            .noneMatch(other -> near(other, group) && now >= other.pausedUntil);
  }

  private static boolean isLate(Group group, long now) {
    return !group.begun && group.work.latestStart() < now;
  }

  private static boolean near(Server server, Group group) {
    return group.work.zone().isEmpty() || group.work.zone().equals(server.instance.zone());
  }

  /**
   * Returns how many pieces of a group go into a call. The results of a request that is only partly
   * done occupy space and serve nobody, so a group is begun only if it fits as a whole, or if it
   * never would.
   */
  private int piecesToTake(Group group, int places, long space) {
    long bytes = Math.max(1, group.work.resultBytes());
    int fitting = (int) Math.min(Math.min(places, space / bytes), group.waiting.size());
    boolean whole = fitting == group.waiting.size();
    boolean oversized =
        group.waiting.size() > service.batch()
            || group.waiting.size() * bytes > service.resultSpaceBytes();
    boolean scarceSpace = bytes * service.batch() > service.resultSpaceBytes() * SCARCE_SPACE;
    return whole || group.begun || oversized || !scarceSpace ? Math.max(0, fitting) : 0;
  }

  private List<Group> ordered(Server server, long now) {
    List<Group> order = new ArrayList<>();
    for (Group group : groups.values()) {
      if (!group.waiting.isEmpty() && mayRunAt(server, group, now)) {
        order.add(group);
      }
    }
    order.sort(
        Comparator.comparing((Group group) -> !group.begun)
            .thenComparing((Group group) -> isLate(group, now))
            .thenComparing((Group group) -> !near(server, group))
            .thenComparingInt(group -> group.work.rank())
            .thenComparingLong(group -> group.work.latestStart()));
    return order;
  }

  /**
   * Records the answer to a call.
   *
   * @param outcomes one for each item, in their order
   */
  public Effects completed(long callId, List<PieceOutcome> outcomes, long now) {
    Effects effects = new Effects();
    Call call = end(callId, now);
    if (call == null) {
      outcomes.forEach(outcome -> addUnused(effects, outcome));
      return effects;
    }
    if (now - call.startedAt > overdueNanos(call.call)) {
      call.server.failed(now);
    } else {
      call.server.failures = 0;
    }
    for (int i = 0; i < call.call.items().size(); i++) {
      StageCall.Item item = call.call.items().get(i);
      PieceOutcome outcome =
          i < outcomes.size()
              ? outcomes.get(i)
              : PieceOutcome.failed(item.piece(), PieceOutcome.Status.FAILED);
      settle(call, item, outcome, now, effects);
    }
    return effects;
  }

  private void settle(
      Call call, StageCall.Item item, PieceOutcome outcome, long now, Effects effects) {
    String handle = outcome.handle();
    if (handle != null) {
      keep(call.server, handle, item.work().resultBytes(), now);
    }
    Group group = groups.get(WorkId.of(item.work()));
    if (group == null || !group.open.contains(item.piece())) {
      addUnused(effects, outcome);
      return;
    }
    if (outcome.status() == PieceOutcome.Status.NO_SPACE) {
      call.server.pause(now, SPACE_PAUSE);
      retry(group, item.piece(), outcome, false, effects);
    } else if (outcome.status() == PieceOutcome.Status.FAILED) {
      retry(group, item.piece(), outcome, true, effects);
    } else {
      finish(group, outcome, effects);
    }
  }

  private static void addUnused(Effects effects, PieceOutcome outcome) {
    String handle = outcome.handle();
    if (handle != null) {
      effects.unused.add(handle);
    }
  }

  private void keep(Server server, String handle, long bytes, long now) {
    server.results.put(handle, new Result(bytes, now, now + service.resultLifetime().toNanos()));
    server.resultBytes += bytes;
  }

  private void finish(Group group, PieceOutcome outcome, Effects effects) {
    group.open.remove(outcome.piece());
    group.waiting.remove((Integer) outcome.piece());
    effects.report(group.work, outcome);
    if (group.open.isEmpty()) {
      groups.remove(WorkId.of(group.work));
    }
  }

  private void retry(
      Group group, int piece, PieceOutcome outcome, boolean counted, Effects effects) {
    if (group.waiting.contains(piece)) {
      return;
    }
    if (counted && group.tries.getOrDefault(piece, 0) >= MAX_TRIES) {
      finish(group, PieceOutcome.failed(piece, outcome.status()), effects);
    } else {
      group.waiting.add(piece);
    }
  }

  /**
   * Records that a call failed.
   *
   * @param refused whether the upstream said that it did not begin the call since it is full
   */
  public Effects failed(long callId, boolean refused, long now) {
    Effects effects = new Effects();
    Call call = end(callId, now);
    if (call == null) {
      return effects;
    }
    if (refused) {
      call.server.pause(now, SPACE_PAUSE);
    } else {
      call.server.failed(now);
    }
    for (StageCall.Item item : call.call.items()) {
      Group group = groups.get(WorkId.of(item.work()));
      if (group != null && group.open.contains(item.piece())) {
        PieceOutcome outcome = PieceOutcome.failed(item.piece(), PieceOutcome.Status.FAILED);
        retry(group, item.piece(), outcome, !refused, effects);
      }
    }
    return effects;
  }

  private @Nullable Call end(long callId, long now) {
    Call call = calls.remove(callId);
    if (call != null) {
      call.server.running--;
      call.server.idleSince = now;
      long bytes = call.call.items().stream().mapToLong(item -> item.work().resultBytes()).sum();
      call.server.reservedBytes -= bytes;
    }
    return call;
  }

  /**
   * Repeats the pieces of overdue calls elsewhere and ends work whose deadline has passed.
   *
   * @return outcomes of the work that ended
   */
  public Effects tick(long now) {
    Effects effects = new Effects();
    for (Call call : calls.values()) {
      if (!call.repeated && now - call.startedAt > overdueNanos(call.call)) {
        call.repeated = true;
        call.server.failed(now);
        repeat(call);
      }
    }
    for (Group group : List.copyOf(groups.values())) {
      long lateSince = Math.max(group.addedAt, group.work.latestStart());
      boolean hopeless = !group.begun && now - lateSince > LATE_PATIENCE.toNanos();
      if (hopeless || now >= group.work.deadline()) {
        for (int piece : List.copyOf(group.open)) {
          finish(group, PieceOutcome.failed(piece, PieceOutcome.Status.LATE), effects);
        }
      }
    }
    return effects;
  }

  private void repeat(Call call) {
    for (StageCall.Item item : call.call.items()) {
      Group group = groups.get(WorkId.of(item.work()));
      if (group != null
          && group.open.contains(item.piece())
          && !group.waiting.contains(item.piece())
          && group.tries.getOrDefault(item.piece(), 0) < MAX_TRIES) {
        group.waiting.add(item.piece());
      }
    }
  }

  /** Returns the time after which a call without an answer is repeated elsewhere. */
  public static long overdueNanos(StageCall call) {
    return (long) (call.expected().toNanos() * OVERDUE_FACTOR) + OVERDUE_MARGIN.toNanos();
  }

  private void expireResults(Server server, long now) {
    if (server.results.isEmpty()) {
      return;
    }
    for (Map.Entry<String, Result> entry : List.copyOf(server.results.entrySet())) {
      if (now >= entry.getValue().expiresAt()) {
        forget(server, entry.getKey());
      }
    }
  }

  /** Returns the load as other processes see it. */
  public StageLoad load(long now) {
    TreeMap<Integer, Double> waiting = new TreeMap<>();
    TreeMap<Integer, Double> coming = new TreeMap<>();
    for (Group group : groups.values()) {
      if (!group.waiting.isEmpty()) {
        boolean late = isLate(group, now);
        double share = group.waiting.size() * shareOfCall(group.work.resultBytes());
        waiting.merge(late ? StageLoad.LATE_RANK : group.work.rank(), share, Double::sum);
      }
    }
    announced.values().removeIf(work -> now >= work.lapsesAt());
    for (Announced work : announced.values()) {
      coming.merge(work.rank(), work.pieces() * shareOfCall(work.resultBytes()), Double::sum);
    }
    TreeSet<Integer> ranks = new TreeSet<>(waiting.keySet());
    ranks.addAll(coming.keySet());
    List<StageLoad.Queued> queued = new ArrayList<>();
    for (int rank : ranks) {
      queued.add(
          new StageLoad.Queued(
              rank, waiting.getOrDefault(rank, 0.0), coming.getOrDefault(rank, 0.0)));
    }
    int usable = 0;
    long residual = Long.MAX_VALUE;
    for (Server server : servers.values()) {
      if (now >= server.pausedUntil) {
        usable++;
        residual = Math.min(residual, residualNanos(server, now));
      }
    }
    return new StageLoad(
        serviceName,
        usable,
        service.callTime(service.batch()).toMillis(),
        usable == 0 ? 0 : Duration.ofNanos(residual).toMillis(),
        queued);
  }

  private long residualNanos(Server server, long now) {
    if (server.running < service.slots()) {
      return 0;
    }
    long earliest = Long.MAX_VALUE;
    for (Call call : calls.values()) {
      if (call.server == server) {
        long left = call.startedAt + call.call.expected().toNanos() - now;
        earliest = Math.min(earliest, Math.max(0, left));
      }
    }
    return earliest == Long.MAX_VALUE ? 0 : earliest;
  }

  /**
   * Returns the part of a full call that a piece takes: its place, or the space of its result for
   * the time that it is kept, whichever is scarcer.
   */
  private double shareOfCall(long resultBytes) {
    double callNanos = service.callTime(service.batch()).toNanos();
    double keptCalls = (holdNanos + callNanos) / callNanos;
    double space = resultBytes / (double) Math.max(1, service.resultSpaceBytes());
    return Math.max(1.0 / service.batch(), space * keptCalls);
  }

  /** Returns the bytes of the results that an upstream keeps, as far as this queue knows. */
  public long keptBytes(String upstreamId) {
    Server server = servers.get(upstreamId);
    return server == null ? 0 : server.resultBytes;
  }

  /** Returns the number of pieces that wait. */
  public int waitingPieces() {
    return groups.values().stream().mapToInt(group -> group.waiting.size()).sum();
  }

  /** Returns the number of calls that run. */
  public int runningCalls() {
    return calls.size();
  }
}
