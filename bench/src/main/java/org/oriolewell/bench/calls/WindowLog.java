package org.oriolewell.bench.calls;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.oriolewell.bench.model.VirtualTime;
import org.oriolewell.core.call.CallId;
import org.oriolewell.core.call.CallRecord;
import org.oriolewell.core.call.ShardAction;
import org.oriolewell.core.call.ShardEvent;
import org.oriolewell.core.call.ShardOwner;
import org.oriolewell.core.call.ShardSettings;

/** The way in force: execution windows, driven by the product's own {@link ShardOwner}. */
final class WindowLog implements CallLog {
  /** Start of the virtual time, in milliseconds since the epoch. */
  private static final long EPOCH_MILLIS = 1_700_000_000_000L;

  private static final long TICK_NANOS = 50_000_000L;
  private static final long SERVICE_NANOS = 20_000_000L;

  /** Time after which a call that the window does not admit is refused. */
  private static final long PATIENCE_NANOS = 2_000_000_000L;

  private final VirtualTime time;
  private final ModelStore store;
  private final Random random;
  private final long grantNanos;
  private final ShardOwner owner;
  private final Map<Long, Runnable> starts = new HashMap<>();
  private long revision;
  private long calls;

  /**
   * Creates a log whose shard is owned from the start.
   *
   * @param grant round trip of the permission
   */
  WindowLog(VirtualTime time, ModelStore store, String shard, Random random, Duration grant) {
    this.time = time;
    this.store = store;
    this.random = random;
    this.grantNanos = grant.toNanos();
    this.owner = ShardOwner.of(shard, "p#1", "a", ShardSettings.defaults());
    on(new ShardEvent.Claim());
    time.after(TICK_NANOS, this::tick);
  }

  @Override
  public void call(Runnable start, Runnable refuse) {
    long call = calls++;
    starts.put(call, start);
    CallId id = new CallId(random.nextLong(), random.nextLong());
    on(new ShardEvent.Arrived(call, id, instant().toEpochMilli(), 0));
    time.after(
        PATIENCE_NANOS,
        () -> {
          if (starts.remove(call) != null) {
            on(new ShardEvent.Denied(call));
            refuse.run();
          }
        });
  }

  private void tick() {
    on(new ShardEvent.Tick());
    time.after(TICK_NANOS, this::tick);
  }

  private Instant instant() {
    return Instant.ofEpochMilli(EPOCH_MILLIS).plusNanos(time.now());
  }

  private void on(ShardEvent event) {
    owner.on(event, instant()).forEach(this::carryOut);
  }

  private void carryOut(ShardAction action) {
    if (action instanceof ShardAction.ReadRecord) {
      on(new ShardEvent.RecordRead(null, 0, Map.of()));
    } else if (action instanceof ShardAction.WriteRecord write) {
      write(write.record().writeId());
    } else if (action instanceof ShardAction.WriteSegment write) {
      store.write(
          ok ->
              on(
                  ok
                      ? new ShardEvent.SegmentWritten(write.segment().writeId())
                      : new ShardEvent.SegmentFailed(write.segment().writeId())));
    } else if (action instanceof ShardAction.AskStart ask) {
      time.after(grantNanos, () -> on(new ShardEvent.Granted(ask.callNumber())));
    } else if (action instanceof ShardAction.Run run) {
      Runnable start = starts.remove(run.callNumber());
      if (start != null) {
        start.run();
      }
      time.after(
          SERVICE_NANOS,
          () ->
              on(
                  new ShardEvent.Finished(
                      run.callNumber(), CallRecord.State.ANSWERED, new byte[64])));
    }
  }

  private void write(String id) {
    store.write(
        ok ->
            on(
                ok
                    ? new ShardEvent.WriteAcknowledged(id, ++revision)
                    : new ShardEvent.WriteUnanswered(id)));
  }
}
