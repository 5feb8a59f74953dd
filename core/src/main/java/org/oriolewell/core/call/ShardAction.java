package org.oriolewell.core.call;

import org.jspecify.annotations.Nullable;

/** Action that a {@link ShardOwner} returns for its process to perform. */
public sealed interface ShardAction {
  /** Read the shard's record and all segments it refers to from the store. */
  record ReadRecord() implements ShardAction {}

  /** Write the shard's record by compare-and-swap; revision 0 requires that there is none. */
  record WriteRecord(long expectedRevision, ShardRecord record) implements ShardAction {}

  /** Write a segment under a store key, replacing any value there. */
  record WriteSegment(String storeKey, Segment segment) implements ShardAction {}

  /** Ask the call's dialer for permission to run the call. */
  record AskStart(long callNumber, long epoch) implements ShardAction {}

  /** Send the call to the upstream immediately. */
  record Run(long callNumber) implements ShardAction {}

  /** Report the verdict on a call to its dialer; the output is null if there is none. */
  record Reply(long callNumber, Verdict verdict, byte @Nullable [] output) implements ShardAction {}

  /** Answer a settle request with the verdict on its key. */
  record Settled(long settleNumber, Verdict verdict, byte @Nullable [] output)
      implements ShardAction {}

  /** Report that the process now owns the shard, at the given ownership epoch. */
  record Acquired(long epoch, int ambiguousRangeCount) implements ShardAction {}

  /** Report that the process lost the shard or failed to claim it. */
  record Lost() implements ShardAction {}

  /** Report that the shard is released. */
  record Released() implements ShardAction {}

  /** What the owner reports about a call or a settled key. */
  enum Verdict {
    /** The call ran and was answered; its output is attached. */
    ANSWERED,
    /** The call ran and was answered; its output is no longer kept. */
    ANSWERED_WITHOUT_OUTPUT,
    /** It isn't known whether the call ran; it never runs again. */
    UNKNOWN,
    /** The call did not run: the upstream refused it before execution. */
    NOT_RUN,
    /** The key was settled as not run; a call with it never runs. */
    SETTLED_NOT_RUN,
    /** The call did not run here: this process doesn't own the shard. */
    NOT_OWNER,
    /** The call did not run: its key was used with another request body. */
    KEY_CONFLICT,
    /** The key is older than recorded calls, so it isn't known whether a call with it ran. */
    KEY_TOO_OLD,
    /** The call did not run: its key's time of issue is too far in the future. */
    KEY_IN_FUTURE,
    /** The call did not run: this process is releasing the shard. */
    STOPPING,
    /** The call did not run: its dialer denied the permission. */
    DENIED
  }
}
