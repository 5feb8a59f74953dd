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
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.eligibility.Eligibility;
import org.oriolewell.core.ratelimit.PermitIssuer;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.StageService;

/**
 * Queues the pieces of one service's stages and batches them into calls to the service's upstreams
 * in one region.
 *
 * <p>Each call has a large fixed cost besides the cost of its pieces, so one call per request would
 * overload the upstreams even without a load burst. The queue collects the pieces of all requests
 * and gateways of the region and assembles a batch whenever an upstream is free. Order of the
 * batches: work that was started, then work that can still be on time, then work that prefers the
 * upstream's zone, then by rank and latest start. Results occupy scarce space at the upstream that
 * produced them until they are freed, so a batch takes only pieces whose results fit.
 *
 * <p>A piece may be processed twice. A call that takes much longer than expected is therefore
 * repeated at another upstream, and the first result counts. If two gateways dispatch the same
 * service at the same time, calls wait longer, but no result is lost.
 *
 * <p>An upstream that names a limit of requests a second gets no more from this queue, which is the
 * only one that calls it.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class StageQueue {
  /** Ranks of requests to limited upstreams; calls go before requests that free results. */
  private static final int CALL_RANK = 0;

  private static final int RELEASE_RANK = 1;

  /** Calls that a piece may be sent in before it fails; further repeats rarely succeed. */
  private static final int MAX_CALLS_PER_PIECE = 3;

  /**
   * Multiple of its expected duration after which a call is overdue. A slow upstream takes 4 times
   * the expected duration.
   */
  private static final double OVERDUE_FACTOR = 2.0;

  /** Added to the duration after which a call is overdue, for network and input transfers. */
  private static final Duration OVERDUE_EXTRA = Duration.ofMillis(150);

  /** Time without calls to an upstream after its first failure; doubles with each further one. */
  private static final Duration FIRST_FAILURE_PAUSE = Duration.ofMillis(400);

  /** Longest time without calls to a failing upstream; bounds how late its recovery is noticed. */
  private static final Duration MAX_FAILURE_PAUSE = Duration.ofMillis(3200);

  /**
   * Time that work waits for an upstream in its preferred zone before it may run in any zone,
   * unless it would then start too late to be on time. Traffic between zones is billed; about one
   * call ends within this time.
   */
  private static final Duration PREFERRED_ZONE_WAIT = Duration.ofMillis(200);

  /** Time until an announcement of work expires; longer than the preceding stages may take. */
  private static final Duration ANNOUNCEMENT_LIFETIME = Duration.ofSeconds(4);

  /** Result space is scarce if the results of a full batch take more than this share of it. */
  private static final double SCARCE_SPACE_SHARE = 0.5;

  /**
   * Time after which late work that never started fails. Its inputs occupy space at the upstreams,
   * and work that can still be on time goes first.
   */
  private static final Duration LATE_WORK_TIMEOUT = Duration.ofMillis(1500);

  /**
   * Time that an upstream must be idle before it gets a call with late work only. A call can't be
   * interrupted, so such a call delays more urgent work that arrives meanwhile. Until then late
   * work only fills up the batches of other calls.
   */
  private static final Duration IDLE_BEFORE_LATE_CALL = Duration.ofMillis(150);

  /**
   * Time without calls to an upstream that had no space for a result; about the time until stored
   * results are read and freed.
   */
  private static final Duration NO_SPACE_PAUSE = Duration.ofMillis(150);

  /**
   * Assumed time until a result is freed, before the first one was freed: an engine's time to its
   * first token.
   */
  private static final Duration ASSUMED_RETENTION = Duration.ofMillis(200);

  /** Weight of a new sample in the mean time until a result is freed; averages about 20 results. */
  private static final double RETENTION_SAMPLE_WEIGHT = 0.05;

  private final StageService service;
  private final String serviceName;
  private final Map<String, UpstreamState> upstreamStates = new LinkedHashMap<>();
  private final PermitIssuer permits = PermitIssuer.create();
  private CallRule callRule = (upstream, now) -> Eligibility.ALLOWED;
  private final Map<WorkId, PendingWork> pendingWork = new LinkedHashMap<>();
  private final Map<WorkId, AnnouncedWork> announcedWork = new HashMap<>();
  private final Map<Long, RunningCall> runningCalls = new HashMap<>();
  private long nextCallId = 1;
  private double meanRetentionNanos = ASSUMED_RETENTION.toNanos();

  /** Identifies stage work by the gateway that submits it and the gateway's ticket. */
  private record WorkId(String origin, long ticket) {
    static WorkId of(StageWork work) {
      return new WorkId(work.origin(), work.ticket());
    }
  }

  /** Decides whether a call may be sent to an upstream now. */
  @FunctionalInterface
  public interface CallRule {
    /** Returns the verdict on a call to an upstream. */
    Eligibility check(UpstreamInstance upstream, long now);
  }

  private record AnnouncedWork(int rank, long resultBytes, int pieces, long expiresAt) {}

  /**
   * Actions for the dispatcher after a change of the queue: outcomes to report, results to free.
   */
  public static final class Effects {
    private final Map<StageWork, List<PieceOutcome>> outcomes = new LinkedHashMap<>();
    private final List<String> unusedHandles = new ArrayList<>();

    private Effects() {}

    /** Returns the outcomes of pieces to report to the submitting gateways, by work. */
    public Map<StageWork, List<PieceOutcome>> outcomes() {
      return outcomes;
    }

    /** Returns handles of results that no request will read, so that they can be freed. */
    public List<String> unusedHandles() {
      return unusedHandles;
    }

    private void addOutcome(StageWork work, PieceOutcome outcome) {
      outcomes.computeIfAbsent(work, w -> new ArrayList<>()).add(outcome);
    }
  }

  private static final class PendingWork {
    private final StageWork work;
    private final List<Integer> waitingPieces;
    private final Set<Integer> unfinishedPieces;
    private final Map<Integer, Integer> callsByPiece = new HashMap<>();
    private final long addedAt;
    private boolean started;

    private PendingWork(StageWork work, long addedAt) {
      this.work = work;
      this.addedAt = addedAt;
      this.waitingPieces = new ArrayList<>(work.pieces());
      this.unfinishedPieces = new HashSet<>(work.pieces());
    }
  }

  private static final class RunningCall {
    private final StageCall stageCall;
    private final UpstreamState upstream;
    private final long startedAt;
    private boolean requeued;

    private RunningCall(StageCall call, UpstreamState upstream, long startedAt) {
      this.stageCall = call;
      this.upstream = upstream;
      this.startedAt = startedAt;
    }
  }

  private static final class UpstreamState {
    private UpstreamInstance instance;
    private final Map<String, StoredResult> storedResults = new HashMap<>();
    private int runningCalls;
    private long reservedBytes;
    private long storedBytes;
    private long idleSince;
    private long pausedUntil = Long.MIN_VALUE;
    private int consecutiveFailures;
    private OptionalDouble limitPerSecond = OptionalDouble.empty();

    private UpstreamState(UpstreamInstance instance, long now) {
      this.instance = instance;
      this.idleSince = now;
    }

    private void pause(long now, Duration pauseDuration) {
      pausedUntil = Math.max(pausedUntil, now + pauseDuration.toNanos());
    }

    private void recordFailure(long now) {
      long pauseFactor = 1L << Math.min(consecutiveFailures, 3);
      Duration pauseDuration = FIRST_FAILURE_PAUSE.multipliedBy(pauseFactor);
      pause(
          now, pauseDuration.compareTo(MAX_FAILURE_PAUSE) > 0 ? MAX_FAILURE_PAUSE : pauseDuration);
      consecutiveFailures++;
    }
  }

  private record StoredResult(long bytes, long storedAt, long expiresAt) {}

  private StageQueue(String serviceName, StageService service) {
    this.serviceName = serviceName;
    this.service = service;
  }

  /** Returns an empty queue for the stages of a service. */
  public static StageQueue create(String serviceName, StageService service) {
    return new StageQueue(serviceName, service);
  }

  /** Sets the rule that calls and requests that free results must pass. */
  public void callRule(CallRule rule) {
    callRule = rule;
  }

  /** Replaces the list of upstreams; calls that run at a removed upstream continue. */
  public void replaceUpstreams(Collection<UpstreamInstance> instances, long now) {
    Set<String> presentIds = new HashSet<>();
    for (UpstreamInstance instance : instances) {
      presentIds.add(instance.id());
      UpstreamState knownUpstream = upstreamStates.get(instance.id());
      if (knownUpstream == null || !knownUpstream.instance.sameStart(instance)) {
        upstreamStates.put(instance.id(), new UpstreamState(instance, now));
      } else {
        knownUpstream.instance = instance;
      }
    }
    upstreamStates.keySet().retainAll(presentIds);
    permits.retain(presentIds::contains);
  }

  /** Adds work to the queue, unless work with the same origin and ticket is queued already. */
  public void add(StageWork work, long now) {
    announcedWork.remove(WorkId.of(work));
    pendingWork.putIfAbsent(WorkId.of(work), new PendingWork(work, now));
  }

  /**
   * Records work whose inputs are still being produced, so that it counts as load. The announcement
   * ends when work with the same ticket is added or canceled, or when it expires: the submitting
   * gateway may have submitted the work to another dispatcher meanwhile.
   */
  public void announce(
      String origin, long ticket, int rank, long resultBytes, int pieces, long now) {
    announcedWork.put(
        new WorkId(origin, ticket),
        new AnnouncedWork(rank, resultBytes, pieces, now + ANNOUNCEMENT_LIFETIME.toNanos()));
  }

  /** Removes work whose request was canceled; results that still arrive are unused. */
  public void cancel(String origin, long ticket) {
    pendingWork.remove(new WorkId(origin, ticket));
    announcedWork.remove(new WorkId(origin, ticket));
  }

  /** Removes all work and announcements of a gateway that disconnected. */
  public void cancelAll(String origin) {
    pendingWork.keySet().removeIf(id -> id.origin().equals(origin));
    announcedWork.keySet().removeIf(id -> id.origin().equals(origin));
  }

  /** Records that results were freed at the upstreams that stored them. */
  public void freed(Collection<String> handles, long now) {
    for (UpstreamState upstream : upstreamStates.values()) {
      for (String handle : handles) {
        StoredResult result = upstream.storedResults.get(handle);
        if (result != null) {
          double retentionNanos = now - result.storedAt();
          meanRetentionNanos += (retentionNanos - meanRetentionNanos) * RETENTION_SAMPLE_WEIGHT;
          forgetResult(upstream, handle);
        }
      }
    }
  }

  private static void forgetResult(UpstreamState upstream, String handle) {
    StoredResult result = upstream.storedResults.remove(handle);
    if (result != null) {
      upstream.storedBytes -= result.bytes();
    }
  }

  /**
   * Records the limit that an answer of an upstream names.
   *
   * @param perSecond requests a second that the upstream takes; empty if the answer names none
   * @return whether the limit has changed
   */
  public boolean limitStated(String upstreamId, OptionalDouble perSecond) {
    UpstreamState upstream = upstreamStates.get(upstreamId);
    if (upstream == null || upstream.limitPerSecond.equals(perSecond)) {
      return false;
    }
    upstream.limitPerSecond = perSecond;
    return true;
  }

  /**
   * Returns whether results may be freed at an upstream now, and counts the request against the
   * limit of the upstream. Results that are not freed expire.
   */
  public boolean takeReleasePermit(String upstreamId, long now) {
    UpstreamState upstream = upstreamStates.get(upstreamId);
    if (upstream == null) {
      return true;
    }
    OptionalDouble rate = permitRate(upstream, now);
    return !blocked(upstream, now)
        && (rate.isEmpty()
            || permits.issue(upstreamId, rate.getAsDouble(), RELEASE_RANK, now).granted());
  }

  private boolean callPermitted(UpstreamState upstream, long now) {
    OptionalDouble rate = permitRate(upstream, now);
    return rate.isEmpty()
        || permits.missingTime(upstream.instance.id(), rate.getAsDouble(), CALL_RANK, now).isZero();
  }

  private void takeCallPermit(UpstreamState upstream, long now) {
    OptionalDouble rate = permitRate(upstream, now);
    if (rate.isPresent()) {
      permits.issue(upstream.instance.id(), rate.getAsDouble(), CALL_RANK, now);
    }
  }

  /** Returns the lower one of the upstream's named limit and the rate of the call rule. */
  private OptionalDouble permitRate(UpstreamState upstream, long now) {
    return callRule.check(upstream.instance, now) instanceof Eligibility.PermitNeeded needed
        ? OptionalDouble.of(
            Math.min(needed.perSecond(), upstream.limitPerSecond.orElse(needed.perSecond())))
        : upstream.limitPerSecond;
  }

  private boolean blocked(UpstreamState upstream, long now) {
    return callRule.check(upstream.instance, now) instanceof Eligibility.Blocked;
  }

  private boolean available(UpstreamState upstream, long now) {
    return now >= upstream.pausedUntil && !blocked(upstream, now);
  }

  /** Returns the calls that the dispatcher has to send now, and counts them as running. */
  public List<StageCall> nextCalls(long now) {
    List<StageCall> callsToSend = new ArrayList<>();
    List<UpstreamState> freeUpstreams = new ArrayList<>();
    for (UpstreamState upstream : upstreamStates.values()) {
      expireResults(upstream, now);
      if (upstream.runningCalls < service.slots()
          && available(upstream, now)
          && callPermitted(upstream, now)) {
        freeUpstreams.add(upstream);
      }
    }
    freeUpstreams.sort(Comparator.comparingLong(upstream -> upstream.storedBytes));
    for (UpstreamState upstream : freeUpstreams) {
      StageCall call = assembleCall(upstream, now);
      if (call != null) {
        takeCallPermit(upstream, now);
        callsToSend.add(call);
      }
    }
    return callsToSend;
  }

  private @Nullable StageCall assembleCall(UpstreamState upstream, long now) {
    List<StageCall.Item> items = new ArrayList<>();
    long freeSpaceBytes =
        service.resultSpaceBytes() - upstream.storedBytes - upstream.reservedBytes;
    long reservedBytes = 0;
    boolean idleLongEnough = now - upstream.idleSince >= IDLE_BEFORE_LATE_CALL.toNanos();
    for (PendingWork pending : inDispatchOrder(upstream, now)) {
      if (items.isEmpty() && isLate(pending, now) && !idleLongEnough) {
        return null;
      }
      int freeBatchPlaces = service.maxBatch() - items.size();
      if (freeBatchPlaces == 0) {
        break;
      }
      int pieceCount = piecesToTake(pending, freeBatchPlaces, freeSpaceBytes - reservedBytes);
      for (int i = 0; i < pieceCount; i++) {
        int piece = pending.waitingPieces.remove(0);
        pending.callsByPiece.merge(piece, 1, Integer::sum);
        items.add(new StageCall.Item(pending.work, piece));
      }
      pending.started |= pieceCount > 0;
      reservedBytes += pieceCount * pending.work.resultBytes();
    }
    if (items.isEmpty()) {
      return null;
    }
    StageCall call =
        new StageCall(nextCallId++, upstream.instance, items, service.callTime(items.size()));
    runningCalls.put(call.id(), new RunningCall(call, upstream, now));
    upstream.runningCalls++;
    upstream.reservedBytes += reservedBytes;
    return call;
  }

  /** Returns whether work may run at an upstream: in its preferred zone, or after a short wait. */
  private boolean mayRunAt(UpstreamState upstream, PendingWork pending, long now) {
    return inPreferredZone(upstream, pending)
        || now - pending.addedAt >= PREFERRED_ZONE_WAIT.toNanos()
        || now >= pending.work.latestStart()
        || upstreamStates.values().stream()
            .noneMatch(other -> inPreferredZone(other, pending) && available(other, now));
  }

  private static boolean isLate(PendingWork pending, long now) {
    return !pending.started && pending.work.latestStart() < now;
  }

  private static boolean inPreferredZone(UpstreamState upstream, PendingWork pending) {
    return pending.work.zone().isEmpty() || pending.work.zone().equals(upstream.instance.zone());
  }

  /**
   * Returns how many of the waiting pieces of queued work go into a batch. Results of a partly
   * processed stage occupy space without use, so if space is scarce, work is started only if all
   * its pieces fit, or if they could never fit together.
   */
  private int piecesToTake(PendingWork pending, int freeBatchPlaces, long freeSpaceBytes) {
    long bytesPerResult = Math.max(1, pending.work.resultBytes());
    int fittingPieces =
        (int)
            Math.min(
                Math.min(freeBatchPlaces, freeSpaceBytes / bytesPerResult),
                pending.waitingPieces.size());
    boolean allFit = fittingPieces == pending.waitingPieces.size();
    boolean canNeverFit =
        pending.waitingPieces.size() > service.maxBatch()
            || pending.waitingPieces.size() * bytesPerResult > service.resultSpaceBytes();
    boolean scarceSpace =
        bytesPerResult * service.maxBatch() > service.resultSpaceBytes() * SCARCE_SPACE_SHARE;
    return allFit || pending.started || canNeverFit || !scarceSpace
        ? Math.max(0, fittingPieces)
        : 0;
  }

  private List<PendingWork> inDispatchOrder(UpstreamState upstream, long now) {
    List<PendingWork> dispatchOrder = new ArrayList<>();
    for (PendingWork pending : pendingWork.values()) {
      if (!pending.waitingPieces.isEmpty() && mayRunAt(upstream, pending, now)) {
        dispatchOrder.add(pending);
      }
    }
    dispatchOrder.sort(
        Comparator.comparing((PendingWork pending) -> !pending.started)
            .thenComparing((PendingWork pending) -> isLate(pending, now))
            .thenComparing((PendingWork pending) -> !inPreferredZone(upstream, pending))
            .thenComparingInt(pending -> pending.work.rank())
            .thenComparingLong(pending -> pending.work.latestStart()));
    return dispatchOrder;
  }

  /**
   * Returns whether an answer names a result twice, or one that an earlier answer of the same
   * upstream has named. Such an answer belongs to another call: an upstream that sends an answer
   * again, late, on a connection that carries the next call would otherwise give the results of one
   * request to another.
   *
   * @param outcomes outcomes that the answer holds
   */
  public boolean repeatsResults(long callId, List<PieceOutcome> outcomes) {
    RunningCall call = runningCalls.get(callId);
    Set<String> handles = new HashSet<>();
    for (PieceOutcome outcome : outcomes) {
      String handle = outcome.handle();
      boolean repeated =
          handle != null
              && (!handles.add(handle)
                  || (call != null && call.upstream.storedResults.containsKey(handle)));
      if (repeated) {
        return true;
      }
    }
    return false;
  }

  /**
   * Records an upstream's answer to a call.
   *
   * @param outcomes outcomes of the call's pieces, in the order of its items
   */
  public Effects completed(long callId, List<PieceOutcome> outcomes, long now) {
    Effects effects = new Effects();
    RunningCall call = removeCall(callId, now);
    if (call == null) {
      outcomes.forEach(outcome -> addUnused(effects, outcome));
      return effects;
    }
    if (now - call.startedAt > overdueAfterNanos(call.stageCall)) {
      call.upstream.recordFailure(now);
    } else {
      call.upstream.consecutiveFailures = 0;
    }
    for (int i = 0; i < call.stageCall.items().size(); i++) {
      StageCall.Item item = call.stageCall.items().get(i);
      PieceOutcome outcome =
          i < outcomes.size()
              ? outcomes.get(i)
              : PieceOutcome.failed(item.piece(), PieceOutcome.Status.FAILED);
      recordOutcome(call, item, outcome, now, effects);
    }
    return effects;
  }

  private void recordOutcome(
      RunningCall call, StageCall.Item item, PieceOutcome outcome, long now, Effects effects) {
    String handle = outcome.handle();
    if (handle != null) {
      storeResult(call.upstream, handle, item.work().resultBytes(), now);
    }
    PendingWork pending = pendingWork.get(WorkId.of(item.work()));
    if (pending == null || !pending.unfinishedPieces.contains(item.piece())) {
      addUnused(effects, outcome);
      return;
    }
    if (outcome.status() == PieceOutcome.Status.NO_SPACE) {
      call.upstream.pause(now, NO_SPACE_PAUSE);
      requeueOrFail(pending, item.piece(), outcome, false, effects);
    } else if (outcome.status() == PieceOutcome.Status.FAILED) {
      requeueOrFail(pending, item.piece(), outcome, true, effects);
    } else {
      finishPiece(pending, outcome, effects);
    }
  }

  private static void addUnused(Effects effects, PieceOutcome outcome) {
    String handle = outcome.handle();
    if (handle != null) {
      effects.unusedHandles.add(handle);
    }
  }

  private void storeResult(UpstreamState upstream, String handle, long resultBytes, long now) {
    upstream.storedResults.put(
        handle, new StoredResult(resultBytes, now, now + service.resultLifetime().toNanos()));
    upstream.storedBytes += resultBytes;
  }

  private void finishPiece(PendingWork pending, PieceOutcome outcome, Effects effects) {
    pending.unfinishedPieces.remove(outcome.piece());
    pending.waitingPieces.remove((Integer) outcome.piece());
    effects.addOutcome(pending.work, outcome);
    if (pending.unfinishedPieces.isEmpty()) {
      pendingWork.remove(WorkId.of(pending.work));
    }
  }

  private void requeueOrFail(
      PendingWork pending,
      int piece,
      PieceOutcome outcome,
      boolean countsAsFailure,
      Effects effects) {
    if (pending.waitingPieces.contains(piece)) {
      return;
    }
    if (countsAsFailure && pending.callsByPiece.getOrDefault(piece, 0) >= MAX_CALLS_PER_PIECE) {
      finishPiece(pending, PieceOutcome.failed(piece, outcome.status()), effects);
    } else {
      pending.waitingPieces.add(piece);
    }
  }

  /**
   * Records that a call failed as a whole and queues its pieces again.
   *
   * @param refused whether the upstream refused the call, without running it, because it is full
   */
  public Effects failed(long callId, boolean refused, long now) {
    Effects effects = new Effects();
    RunningCall call = removeCall(callId, now);
    if (call == null) {
      return effects;
    }
    if (refused) {
      call.upstream.pause(now, NO_SPACE_PAUSE);
    } else {
      call.upstream.recordFailure(now);
    }
    for (StageCall.Item item : call.stageCall.items()) {
      PendingWork pending = pendingWork.get(WorkId.of(item.work()));
      if (pending != null && pending.unfinishedPieces.contains(item.piece())) {
        PieceOutcome outcome = PieceOutcome.failed(item.piece(), PieceOutcome.Status.FAILED);
        requeueOrFail(pending, item.piece(), outcome, !refused, effects);
      }
    }
    return effects;
  }

  private @Nullable RunningCall removeCall(long callId, long now) {
    RunningCall call = runningCalls.remove(callId);
    if (call != null) {
      call.upstream.runningCalls--;
      call.upstream.idleSince = now;
      long reservedBytes =
          call.stageCall.items().stream().mapToLong(item -> item.work().resultBytes()).sum();
      call.upstream.reservedBytes -= reservedBytes;
    }
    return call;
  }

  /**
   * Queues the pieces of overdue calls again, and fails work that waits too long or whose deadline
   * has passed. Called at regular intervals.
   *
   * @return outcomes of the work that failed
   */
  public Effects tick(long now) {
    Effects effects = new Effects();
    for (RunningCall call : runningCalls.values()) {
      if (!call.requeued && now - call.startedAt > overdueAfterNanos(call.stageCall)) {
        call.requeued = true;
        call.upstream.recordFailure(now);
        requeueUnfinished(call);
      }
    }
    for (PendingWork pending : List.copyOf(pendingWork.values())) {
      long lateSince = Math.max(pending.addedAt, pending.work.latestStart());
      boolean timedOut = !pending.started && now - lateSince > LATE_WORK_TIMEOUT.toNanos();
      if (timedOut || now >= pending.work.deadline()) {
        for (int piece : List.copyOf(pending.unfinishedPieces)) {
          finishPiece(pending, PieceOutcome.failed(piece, PieceOutcome.Status.LATE), effects);
        }
      }
    }
    return effects;
  }

  private void requeueUnfinished(RunningCall call) {
    for (StageCall.Item item : call.stageCall.items()) {
      PendingWork pending = pendingWork.get(WorkId.of(item.work()));
      if (pending != null
          && pending.unfinishedPieces.contains(item.piece())
          && !pending.waitingPieces.contains(item.piece())
          && pending.callsByPiece.getOrDefault(item.piece(), 0) < MAX_CALLS_PER_PIECE) {
        pending.waitingPieces.add(item.piece());
      }
    }
  }

  /** Returns the nanoseconds after which an unanswered call is repeated at another upstream. */
  public static long overdueAfterNanos(StageCall call) {
    return (long) (call.expectedDuration().toNanos() * OVERDUE_FACTOR) + OVERDUE_EXTRA.toNanos();
  }

  private void expireResults(UpstreamState upstream, long now) {
    if (upstream.storedResults.isEmpty()) {
      return;
    }
    for (Map.Entry<String, StoredResult> entry : List.copyOf(upstream.storedResults.entrySet())) {
      if (now >= entry.getValue().expiresAt()) {
        forgetResult(upstream, entry.getKey());
      }
    }
  }

  /** Returns the load that the dispatcher reports to all gateways. */
  public StageLoad load(long now) {
    TreeMap<Integer, Double> waitingByRank = new TreeMap<>();
    TreeMap<Integer, Double> announcedByRank = new TreeMap<>();
    for (PendingWork pending : pendingWork.values()) {
      if (!pending.waitingPieces.isEmpty()) {
        boolean late = isLate(pending, now);
        double fullCalls = pending.waitingPieces.size() * shareOfCall(pending.work.resultBytes());
        waitingByRank.merge(
            late ? StageLoad.LATE_RANK : pending.work.rank(), fullCalls, Double::sum);
      }
    }
    announcedWork.values().removeIf(work -> now >= work.expiresAt());
    for (AnnouncedWork work : announcedWork.values()) {
      announcedByRank.merge(
          work.rank(), work.pieces() * shareOfCall(work.resultBytes()), Double::sum);
    }
    TreeSet<Integer> ranks = new TreeSet<>(waitingByRank.keySet());
    ranks.addAll(announcedByRank.keySet());
    List<StageLoad.Queued> queued = new ArrayList<>();
    for (int rank : ranks) {
      queued.add(
          new StageLoad.Queued(
              rank,
              waitingByRank.getOrDefault(rank, 0.0),
              announcedByRank.getOrDefault(rank, 0.0)));
    }
    int usableUpstreams = 0;
    long minResidualNanos = Long.MAX_VALUE;
    for (UpstreamState upstream : upstreamStates.values()) {
      if (available(upstream, now)) {
        usableUpstreams++;
        minResidualNanos = Math.min(minResidualNanos, residualNanos(upstream, now));
      }
    }
    return new StageLoad(
        serviceName,
        usableUpstreams,
        service.callTime(service.maxBatch()).toMillis(),
        usableUpstreams == 0 ? 0 : Duration.ofNanos(minResidualNanos).toMillis(),
        queued);
  }

  private long residualNanos(UpstreamState upstream, long now) {
    if (upstream.runningCalls < service.slots()) {
      return 0;
    }
    long minRemainingNanos = Long.MAX_VALUE;
    for (RunningCall call : runningCalls.values()) {
      if (call.upstream == upstream) {
        long remainingNanos = call.startedAt + call.stageCall.expectedDuration().toNanos() - now;
        minRemainingNanos = Math.min(minRemainingNanos, Math.max(0, remainingNanos));
      }
    }
    return minRemainingNanos == Long.MAX_VALUE ? 0 : minRemainingNanos;
  }

  /**
   * Returns the share of a full call that a piece uses: its place in the batch, or the space of its
   * result until that is freed, whichever is scarcer.
   */
  private double shareOfCall(long resultBytes) {
    double callNanos = service.callTime(service.maxBatch()).toNanos();
    double retentionInCalls = (meanRetentionNanos + callNanos) / callNanos;
    double spaceShare = resultBytes / (double) Math.max(1, service.resultSpaceBytes());
    return Math.max(1.0 / service.maxBatch(), spaceShare * retentionInCalls);
  }

  /** Returns the total size in bytes of results that an upstream stores, as far as is known. */
  public long keptBytes(String upstreamId) {
    UpstreamState upstream = upstreamStates.get(upstreamId);
    return upstream == null ? 0 : upstream.storedBytes;
  }

  /** Returns the number of pieces that wait to be sent. */
  public int waitingPieces() {
    return pendingWork.values().stream().mapToInt(pending -> pending.waitingPieces.size()).sum();
  }

  /** Returns the number of calls that were sent and not answered yet. */
  public int runningCalls() {
    return runningCalls.size();
  }
}
