package org.oriolewell.core.call;

import org.jspecify.annotations.Nullable;

/** What a {@link ShardOwner} asks its program to do. */
public sealed interface ShardAction {
  /** Read the record and all segments it refers to. */
  record ReadRecord() implements ShardAction {}

  /** Write the record by compare-and-swap; revision 0 means that it must be absent. */
  record WriteRecord(long expectedRevision, ShardRecord record) implements ShardAction {}

  /** Write a segment under a name, whatever the name holds now. */
  record WriteSegment(String name, Segment segment) implements ShardAction {}

  /** Ask the call's dialer for permission to run it. */
  record AskStart(long call, long epoch) implements ShardAction {}

  /** Run the call at the upstream, now. */
  record Run(long call) implements ShardAction {}

  /** Answer a call. */
  record Reply(long call, Verdict verdict, byte @Nullable [] output) implements ShardAction {}

  /** Answer a question about a key. */
  record Settled(long question, Verdict verdict, byte @Nullable [] output) implements ShardAction {}

  /** The process now owns the shard at this epoch. */
  record Acquired(long epoch, int ambiguousRanges) implements ShardAction {}

  /** The process no longer owns the shard. */
  record Lost() implements ShardAction {}

  /** The shard was released. */
  record Released() implements ShardAction {}

  /** What is said about a call. */
  enum Verdict {
    /** It ran; the output is given. */
    ANSWERED,
    /** It ran; its output is no longer kept. */
    ANSWERED_WITHOUT_OUTPUT,
    /** It isn't known whether it ran; it never runs again. */
    UNKNOWN,
    /** It did not run, since the upstream refused it before execution. */
    NOT_RUN,
    /** It was settled as not run and never runs. */
    SETTLED_NOT_RUN,
    /** It did not run here; another process owns the shard, or will. */
    NOT_OWNER,
    /** It did not run, as its key was used with another body. */
    KEY_CONFLICT,
    /** Its key is older than the record keeps, so it isn't known whether it ran. */
    KEY_TOO_OLD,
    /** It did not run, as its key's time is too far in the future. */
    KEY_IN_FUTURE,
    /** It did not run, as the process is stopping. */
    STOPPING,
    /** It did not run, as the dialer denied it. */
    DENIED
  }
}
