package org.oriolewell.runtime.wire;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A message of the protocol between entries and agents. docs/design.md, section 2.4, lists who
 * sends which message and when.
 */
public sealed interface Message {
  /** Version of the protocol that this program speaks. */
  int PROTOCOL_VERSION = 1;

  /** What is known about whether a call ran. */
  enum Outcome {
    /** The call ran and its answer is known. */
    ANSWERED,
    /** The call did not run and never will. */
    NOT_RUN,
    /** It is not known whether the call ran. */
    UNKNOWN
  }

  /** Why an agent refused a call. Each constant's wire name is its lower-case name. */
  enum RefusalKind {
    /** The agent's queue is full or the workspace's share is used up. */
    OVERLOADED,
    /** The call can't finish in its remaining time. */
    DEADLINE_UNREACHABLE,
    /** The remaining time ran out. */
    DEADLINE_EXCEEDED,
    /** The agent is draining. */
    STOPPING,
    /** Another agent owns the shard of the call's key; the detail names it. */
    NOT_OWNER,
    /** The same key was used with another body. */
    KEY_CONFLICT,
    /** The key's time is too old or too far in the future. */
    KEY_TIME,
    /** The execution window can't be extended since the store doesn't answer. */
    STORE_UNAVAILABLE,
    /** The upstream failed or refused. */
    UPSTREAM_FAILED,
    /** It isn't known whether the call ran. */
    OUTCOME_UNKNOWN,
    /** The dialer denied or canceled the call. */
    CANCELED,
    /** The call is malformed or names an unknown operation. */
    INVALID
  }

  /**
   * Load of an agent, sent along with answers and heartbeats.
   *
   * @param inFlight calls now at the upstream
   * @param queued calls waiting in the agent
   * @param limit current concurrency limit
   * @param queueDelayMicros estimated wait of a new call, in microseconds
   * @param draining whether the agent refuses new calls
   */
  record Load(int inFlight, int queued, int limit, long queueDelayMicros, boolean draining) {
    /** Load of a process that serves no calls. */
    public static final Load NONE = new Load(0, 0, 0, 0, false);
  }

  /**
   * First message on a connection, from both sides.
   *
   * @param version protocol version
   * @param process process id, a name and a random incarnation
   * @param role {@code entry} or {@code agent}
   * @param pool pool of the agent's upstream; empty for entries
   * @param zone availability zone
   * @param region region
   * @param configVersion configuration version in force; 0 if none
   * @param shards owned shards: shard name to epoch
   * @param load current load
   */
  record Hello(
      int version,
      String process,
      String role,
      String pool,
      String zone,
      String region,
      long configVersion,
      Map<String, Long> shards,
      Load load)
      implements Message {}

  /**
   * A stage's call.
   *
   * @param stream number of the call on this connection, chosen by the dialer
   * @param requestId request, in hexadecimal
   * @param stage index of the stage in its pipeline, from 0
   * @param attempt attempt of this stage, from 0
   * @param workspace workspace of the request
   * @param firm firm of the workspace
   * @param pipeline pipeline of the request
   * @param priority priority, 0 (lowest) to 9
   * @param remainingMillis time left until the deadline of this call
   * @param operation operation at the upstream
   * @param idempotent whether the call may run more than once
   * @param key idempotency key; null for idempotent calls
   * @param fingerprint hash of the request's body, compared between calls with the same key
   * @param resumeFrom position of the first token wanted; 0 for all
   * @param credits frames that the agent may send before it needs more credit
   * @param streaming whether the answer comes as TOKENS frames
   * @param payload input, JSON in UTF-8
   */
  record Call(
      long stream,
      String requestId,
      int stage,
      int attempt,
      String workspace,
      String firm,
      String pipeline,
      int priority,
      long remainingMillis,
      String operation,
      boolean idempotent,
      @Nullable String key,
      long fingerprint,
      long resumeFrom,
      int credits,
      boolean streaming,
      byte[] payload)
      implements Message {}

  /** Asks the dialer for permission to run a non-idempotent call, at an epoch of its shard. */
  record Start(long stream, long epoch) implements Message {}

  /** Permits a non-idempotent call to run. */
  record Grant(long stream) implements Message {}

  /** Forbids a non-idempotent call to run; the dialer has given it up. */
  record Deny(long stream) implements Message {}

  /**
   * A part of a token stream.
   *
   * @param position position of the first item, from 0
   * @param items token texts
   */
  record Tokens(long stream, long position, List<String> items) implements Message {}

  /** Lets the agent send more TOKENS frames. */
  record Credit(long stream, int frames) implements Message {}

  /**
   * Last message of an answered call.
   *
   * @param payload output, JSON in UTF-8; empty for a stream
   * @param count tokens of the whole answer, counted from position 0; 0 if not a stream
   * @param load load of the agent
   */
  record Result(long stream, byte[] payload, long count, Load load) implements Message {}

  /** Last message of a call that has no answer. */
  record Refused(
      long stream,
      RefusalKind kind,
      Outcome outcome,
      String detail,
      long retryAfterMillis,
      Load load)
      implements Message {}

  /** Says that the dialer no longer wants the answer. */
  record Cancel(long stream) implements Message {}

  /** Heartbeat. */
  record Ping(long sequence, long configVersion, Load load) implements Message {}

  /** Answer to a heartbeat; shards are as in {@link Hello}. */
  record Pong(long sequence, long configVersion, Load load, Map<String, Long> shards)
      implements Message {}

  /** Asks for the configuration changes after a version. */
  record ConfigRequest(long fromVersion) implements Message {}

  /** Configuration changes that lead from one version to another, as JSON in UTF-8. */
  record ConfigDelta(long fromVersion, long toVersion, byte[] changes) implements Message {}

  /** A whole configuration document, JSON in UTF-8, compressed with gzip. */
  record ConfigSnapshot(long version, byte[] document) implements Message {}

  /** Asks for the final outcome of a key; a key that didn't run is recorded as settled. */
  record Settle(long id, String workspace, String pipeline, int stage, String operation, String key)
      implements Message {}

  /** Answer to {@link Settle}: the outcome, and the output if it's known. */
  record Settled(long id, Outcome outcome, String detail, byte[] payload) implements Message {}

  /** A question about the process, as JSON in UTF-8. */
  record Query(long id, byte[] question) implements Message {}

  /** Answer to {@link Query}, as JSON in UTF-8. */
  record QueryResult(long id, byte[] answer) implements Message {}

  /**
   * Pieces of one stage of a request, handed to the dispatcher of the stage's service.
   *
   * @param ticket number of the work, chosen by the sender
   * @param requestId identifier of the request
   * @param stage index of the stage
   * @param service service that runs the stage
   * @param region region in which it is to run
   * @param zone availability zone that is preferred; empty for none
   * @param rank urgency, the lowest first
   * @param startMillis time left in which the work has to begin to be on time; may be negative
   * @param remainingMillis time left until the results are useless
   * @param resultBytes approximate size of one result
   * @param pieces numbers of the pieces
   * @param key piece key of the request; empty if the stage has inputs
   * @param inputs handles of the results that the stage reads
   */
  record StageSubmit(
      long ticket,
      String requestId,
      int stage,
      String service,
      String region,
      String zone,
      int rank,
      long startMillis,
      long remainingMillis,
      long resultBytes,
      List<Integer> pieces,
      String key,
      List<String> inputs)
      implements Message {}

  /**
   * What became of pieces.
   *
   * @param ticket number of the work
   * @param service service that the work was for
   * @param pieces numbers of the pieces
   * @param statuses how each ended, as the number of a {@code PieceOutcome.Status}
   * @param handles handle of each result; empty if there is none
   */
  record StageResults(
      long ticket,
      String service,
      List<Integer> pieces,
      List<Integer> statuses,
      List<String> handles)
      implements Message {}

  /**
   * Tells a dispatcher of work whose inputs are still being made.
   *
   * @param ticket number under which the work will be handed over
   * @param service service that runs the stage
   * @param region region in which it is to run
   * @param rank urgency, the lowest first
   * @param resultBytes approximate size of one result
   * @param pieces number of pieces
   */
  record StageAnnounce(
      long ticket, String service, String region, int rank, long resultBytes, int pieces)
      implements Message {}

  /** Withdraws work of a service in a region. */
  record StageCancel(long ticket, String service, String region) implements Message {}

  /** Names results of a service in a region that nobody reads any more. */
  record StageRelease(String service, String region, List<String> handles) implements Message {}

  /**
   * Load of one service in the sender's region.
   *
   * @param service service
   * @param region region
   * @param upstreams upstreams that take work
   * @param callMillis time of a full call
   * @param residualMillis time until an upstream is free
   * @param ranks ranks of waiting work, ascending
   * @param calls waiting work of each rank, in thousandths of a full call
   * @param announced announced work of each rank, in thousandths of a full call
   */
  record StageLoadReport(
      String service,
      String region,
      int upstreams,
      long callMillis,
      long residualMillis,
      List<Integer> ranks,
      List<Integer> calls,
      List<Integer> announced)
      implements Message {}
}
