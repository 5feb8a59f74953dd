package org.oriolewell.runtime.wire;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A message of the protocol between entries and agents, and among gateways. The dialer is the
 * process that opened the connection. docs/design.md, section 2.4, lists who sends which message
 * and when.
 */
public sealed interface Message {
  /** Protocol version that this build sends in {@link Hello}. */
  int PROTOCOL_VERSION = 1;

  /** Whether a call is known to have run at the upstream. */
  enum Outcome {
    /** The call ran at the upstream and its answer is known. */
    ANSWERED,
    /** The call did not run at the upstream and never will. */
    NOT_RUN,
    /** It is not known whether the call ran at the upstream. */
    UNKNOWN
  }

  /** Why a call ended without an answer. Each constant's wire name is its lower-case name. */
  enum RefusalKind {
    /** The agent's queue is full, or the workspace's share of the agent is used up. */
    OVERLOADED,
    /** The call can't finish before its deadline. */
    DEADLINE_UNREACHABLE,
    /** The call's deadline has passed. */
    DEADLINE_EXCEEDED,
    /** The agent is draining and takes no new calls. */
    STOPPING,
    /**
     * Another agent owns the shard of the idempotency key; the refusal's detail names the owner.
     */
    NOT_OWNER,
    /** The idempotency key was used before with another request body. */
    KEY_CONFLICT,
    /** The time in the idempotency key is too old or too far in the future. */
    KEY_TIME,
    /** The execution window can't be extended, since the key-value service doesn't answer. */
    STORE_UNAVAILABLE,
    /** The upstream failed or refused the call. */
    UPSTREAM_FAILED,
    /** It isn't known whether the call ran at the upstream. */
    OUTCOME_UNKNOWN,
    /** The dialer denied the call its start or canceled it. */
    CANCELED,
    /** The call is malformed or names an unknown operation. */
    INVALID
  }

  /**
   * Load of an agent, reported with answers and heartbeats.
   *
   * @param inFlight number of calls in flight at the upstream
   * @param queued number of calls in the agent's queue
   * @param limit current limit of calls in flight at the upstream
   * @param queueDelayMicros estimated time that a new call spends in the queue, in microseconds
   * @param draining whether the agent refuses new calls
   */
  record Load(int inFlight, int queued, int limit, long queueDelayMicros, boolean draining) {
    /** Load of a process that serves no calls. */
    public static final Load NONE = new Load(0, 0, 0, 0, false);
  }

  /**
   * Introduces a process; the first message that each side sends on a connection.
   *
   * @param version protocol version that the sender speaks
   * @param process identifier of the process: its name and a random incarnation
   * @param role role of the process, {@code entry} or {@code agent}
   * @param pool pool of the agent's upstream; empty for entries
   * @param zone availability zone of the process
   * @param region region of the process
   * @param configVersion configuration version in force in the process; 0 if none
   * @param shards shards that the process owns, from shard name to epoch of the ownership
   * @param load current load of the process
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
   * Asks an agent to call its upstream for one stage of a request.
   *
   * @param stream number that identifies the call on this connection, chosen by the dialer
   * @param requestId identifier of the request, in hexadecimal
   * @param stage index of the stage in its pipeline, from 0
   * @param attempt number of the attempt at this stage, from 0
   * @param workspace name of the request's workspace
   * @param firm name of the firm that owns the workspace
   * @param pipeline name of the request's pipeline
   * @param priority priority of the request, from 0 (lowest) to 9
   * @param remainingMillis time until the deadline of this call, in milliseconds
   * @param operation name of the operation that the upstream is to run
   * @param idempotent whether the call may run more than once
   * @param key idempotency key; null for idempotent calls
   * @param fingerprint hash of the request's body, compared between calls with the same key
   * @param resumeFrom position of the first token to send; 0 for the whole answer
   * @param credits number of TOKENS frames that the agent may send before it needs a CREDIT message
   * @param streaming whether the answer is sent as TOKENS frames
   * @param payload input of the operation, as JSON in UTF-8
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

  /**
   * Asks the dialer for permission to run a non-idempotent call.
   *
   * @param stream number of the call on this connection
   * @param epoch epoch of the agent's ownership of the call's shard
   */
  record Start(long stream, long epoch) implements Message {}

  /**
   * Gives an agent the permission to run a non-idempotent call.
   *
   * @param stream number of the call on this connection
   */
  record Grant(long stream) implements Message {}

  /**
   * Forbids an agent to run a non-idempotent call, since the dialer has given the call up.
   *
   * @param stream number of the call on this connection
   */
  record Deny(long stream) implements Message {}

  /**
   * Consecutive tokens of a streamed answer.
   *
   * @param stream number of the call on this connection
   * @param position position of the first of these tokens in the answer, from 0
   * @param items texts of the tokens
   */
  record Tokens(long stream, long position, List<String> items) implements Message {}

  /**
   * Lets the agent send more TOKENS frames.
   *
   * @param stream number of the call on this connection
   * @param frames number of further frames that the agent may send
   */
  record Credit(long stream, int frames) implements Message {}

  /**
   * Ends a call that the upstream answered.
   *
   * @param stream number of the call on this connection
   * @param payload output of the operation, as JSON in UTF-8; empty for a streamed answer
   * @param count number of tokens in the whole answer, counted from position 0; 0 if not streamed
   * @param load current load of the agent
   */
  record Result(long stream, byte[] payload, long count, Load load) implements Message {}

  /**
   * Ends a call that the agent refused or that failed.
   *
   * @param stream number of the call on this connection
   * @param kind why the call has no answer
   * @param outcome whether the call is known to have run at the upstream
   * @param detail explanation of the refusal, in words
   * @param retryAfterMillis time after which a retry may succeed, in milliseconds
   * @param load current load of the agent
   */
  record Refused(
      long stream,
      RefusalKind kind,
      Outcome outcome,
      String detail,
      long retryAfterMillis,
      Load load)
      implements Message {}

  /**
   * Cancels a call whose answer the dialer no longer needs.
   *
   * @param stream number of the call on this connection
   */
  record Cancel(long stream) implements Message {}

  /**
   * A heartbeat.
   *
   * @param sequence number of the heartbeat, repeated in the {@link Pong}
   * @param configVersion configuration version in force in the sender
   * @param load current load of the sender
   */
  record Ping(long sequence, long configVersion, Load load) implements Message {}

  /**
   * Answer to a heartbeat.
   *
   * @param sequence number of the {@link Ping} that is answered
   * @param configVersion configuration version in force in the sender
   * @param load current load of the sender
   * @param shards shards that the sender owns, from shard name to epoch of the ownership
   */
  record Pong(long sequence, long configVersion, Load load, Map<String, Long> shards)
      implements Message {}

  /**
   * Asks for the configuration changes that follow a version.
   *
   * @param fromVersion configuration version in force in the sender
   */
  record ConfigRequest(long fromVersion) implements Message {}

  /**
   * Configuration changes that lead from one version to another.
   *
   * @param fromVersion version to which the changes apply
   * @param toVersion version that results from the changes
   * @param changes the changes, as JSON in UTF-8
   */
  record ConfigDelta(long fromVersion, long toVersion, byte[] changes) implements Message {}

  /**
   * A complete configuration document.
   *
   * @param version version of the document
   * @param document the document, as JSON in UTF-8, compressed with gzip
   */
  record ConfigSnapshot(long version, byte[] document) implements Message {}

  /**
   * Asks for the final outcome of the call with an idempotency key. If that call hasn't run, the
   * agent records that it never will.
   *
   * @param id number that identifies this message on the connection
   * @param workspace workspace of the request
   * @param pipeline pipeline of the request
   * @param stage index of the stage in its pipeline, from 0
   * @param operation operation of the call
   * @param key idempotency key of the call
   */
  record Settle(long id, String workspace, String pipeline, int stage, String operation, String key)
      implements Message {}

  /**
   * Answer to {@link Settle}.
   *
   * @param id number of the {@link Settle} message
   * @param outcome whether the call is known to have run at the upstream
   * @param detail explanation of the outcome, in words
   * @param payload output of the call; empty if it isn't known
   */
  record Settled(long id, Outcome outcome, String detail, byte[] payload) implements Message {}

  /**
   * A query about the state of the receiving process.
   *
   * @param id number that identifies this query on the connection
   * @param question the query, as JSON in UTF-8
   */
  record Query(long id, byte[] question) implements Message {}

  /**
   * Answer to {@link Query}.
   *
   * @param id number of the {@link Query} message
   * @param answer the result, as JSON in UTF-8
   */
  record QueryResult(long id, byte[] answer) implements Message {}

  /**
   * Submits pieces of one stage of a request to the dispatcher of the stage's service.
   *
   * @param ticket number of the submitted work, chosen by the sender
   * @param requestId identifier of the request
   * @param stage index of the stage in its pipeline, from 0
   * @param service name of the service that runs the stage
   * @param region region in which the stage is to run
   * @param zone preferred availability zone; empty for none
   * @param rank urgency of the work; the lowest rank runs first
   * @param startMillis time until the work has to start to be on time, in milliseconds; may be
   *     negative
   * @param remainingMillis time until the request's deadline, after which the results are useless,
   *     in milliseconds
   * @param resultBytes approximate size of the result of one piece, in bytes
   * @param pieces numbers of the stage's pieces that are to be processed
   * @param key piece key of the request; empty if the stage has inputs
   * @param inputs handles of the results that the stage reads; empty for a first stage
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
   * Outcomes of submitted pieces. The three lists have the same order.
   *
   * @param ticket number of the work, from {@link StageSubmit}
   * @param service name of the service that ran the stage
   * @param pieces numbers of the stage's pieces that ended
   * @param statuses status of each piece, as the ordinal of a {@code PieceOutcome.Status}
   * @param handles handle of each piece's result; empty if the piece has none
   */
  record StageResults(
      long ticket,
      String service,
      List<Integer> pieces,
      List<Integer> statuses,
      List<String> handles)
      implements Message {}

  /**
   * Announces work to a dispatcher while earlier stages still produce its inputs.
   *
   * @param ticket number with which the work will be submitted
   * @param service name of the service that runs the stage
   * @param region region in which the stage is to run
   * @param rank urgency of the work; the lowest rank runs first
   * @param resultBytes approximate size of the result of one piece, in bytes
   * @param pieces number of pieces of the announced work
   */
  record StageAnnounce(
      long ticket, String service, String region, int rank, long resultBytes, int pieces)
      implements Message {}

  /**
   * Cancels submitted or announced work.
   *
   * @param ticket number of the work, from {@link StageSubmit} or {@link StageAnnounce}
   * @param service name of the service that runs the stage
   * @param region region in which the stage was to run
   */
  record StageCancel(long ticket, String service, String region) implements Message {}

  /**
   * Releases stored results that no later stage will read.
   *
   * @param service name of the service that produced the results
   * @param region region of the upstreams that store the results
   * @param handles handles of the results
   */
  record StageRelease(String service, String region, List<String> handles) implements Message {}

  /**
   * Load of one service in the sender's region.
   *
   * @param service name of the service
   * @param region region of the sender
   * @param upstreams number of upstreams that accept work
   * @param callMillis expected duration of a call with a full batch, in milliseconds
   * @param residualMillis time until the next upstream can start a call, in milliseconds
   * @param ranks ranks of queued or announced work, ascending; the lowest rank runs first
   * @param calls queued work of each rank, in thousandths of a call with a full batch
   * @param announced announced work of each rank, in thousandths of a call with a full batch
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

  /**
   * What one gateway has observed about an upstream or a prompt part. A gateway sends its
   * observations when they are made, and those that still hold to a gateway that connects.
   *
   * @param kind number of the kind of observation
   * @param subject identifier of what was observed
   * @param origin name of the gateway that made the observation
   * @param ageMillis time since the observation was made, in milliseconds
   * @param value observed value; 0 if the kind has none
   * @param details further identifiers, as the kind defines them
   */
  record Observation(
      int kind, String subject, String origin, long ageMillis, double value, List<String> details)
      implements Message {}

  /**
   * Asks for a permit to send one request to an upstream that has named a limit.
   *
   * @param id number that identifies this message on the connection
   * @param upstream identifier of one start of the upstream
   * @param rank urgency of the request; the lowest rank is the most urgent
   * @param limitPerSecond limit that the sender knows, in requests a second
   * @param limitAgeMillis time since the answer that named the limit, in milliseconds
   */
  record PermitRequest(
      long id, String upstream, int rank, double limitPerSecond, long limitAgeMillis)
      implements Message {}

  /**
   * Asks for a permit to send one request to an upstream that is cold.
   *
   * @param id number that identifies this message on the connection
   * @param upstream identifier of one start of the upstream
   * @param rank urgency of the request; the lowest rank is the most urgent
   * @param perSecond rate of permits that the sender assumes, in requests a second
   */
  record ColdPermitRequest(long id, String upstream, int rank, double perSecond)
      implements Message {}

  /**
   * Answer to {@link PermitRequest} and {@link ColdPermitRequest}.
   *
   * @param id number of the request for a permit
   * @param granted whether the request may be sent at once
   * @param retryAfterMillis time after which a permit may be granted, in milliseconds
   */
  record PermitReply(long id, boolean granted, long retryAfterMillis) implements Message {}

  /**
   * One gateway's unanswered work and measurements, sent to the collector of its region.
   *
   * @param upstreams identifiers of the upstreams at which the sender has unanswered work
   * @param tenthsOfWork this work at each of them, in tenths of a request of usual size
   * @param measured identifiers of the upstreams whose streams were measured; may repeat
   * @param gapMicros time between two events of each measured stream, in microseconds
   */
  record CapacityReport(
      List<String> upstreams,
      List<Integer> tenthsOfWork,
      List<String> measured,
      List<Integer> gapMicros)
      implements Message {}

  /**
   * Sums over the gateways of a region, sent by its collector. Upstreams that aren't listed have
   * the values of an earlier message.
   *
   * @param upstreams identifiers of the upstreams
   * @param tenthsOfWork unanswered work at each of them, in tenths of a request of usual size
   * @param levels level of the speed of each; 127 if unknown
   */
  record CapacitySums(List<String> upstreams, List<Integer> tenthsOfWork, List<Integer> levels)
      implements Message {}
}
