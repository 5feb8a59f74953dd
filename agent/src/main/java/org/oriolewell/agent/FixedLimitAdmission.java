package org.oriolewell.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.TreeMap;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/** Admission with a fixed limit and a bounded queue in the order of priority and deadline. */
final class FixedLimitAdmission implements Admission {
  private static final Duration RETRY_AFTER = Duration.ofMillis(100);

  private final int limit;
  private final int queueSize;
  private final TreeMap<Place, Ticket> queue =
      new TreeMap<>(
          Comparator.comparingInt((Place place) -> -place.priority())
              .thenComparing(Place::deadline)
              .thenComparingLong(Place::sequence));
  private int inFlight;
  private long sequence;
  private double latencyMicros;

  private record Place(int priority, Instant deadline, long sequence) {}

  FixedLimitAdmission(int limit, int queueSize) {
    this.limit = limit;
    this.queueSize = queueSize;
  }

  @Override
  public void offer(Ticket ticket, Instant now) {
    if (inFlight < limit) {
      admit(ticket);
    } else if (queue.size() >= queueSize) {
      ticket.refused(
          RefusalKind.OVERLOADED,
          "the queue holds " + queueSize + " calls; retry later or at another upstream",
          RETRY_AFTER);
    } else {
      Message.Call call = ticket.call();
      queue.put(new Place(call.priority(), ticket.deadline(), sequence++), ticket);
    }
  }

  @Override
  public void withdraw(Ticket ticket, Instant now) {
    queue.values().remove(ticket);
  }

  @Override
  public void finished(Ticket ticket, Duration latency, boolean failed, Instant now) {
    inFlight--;
    latencyMicros += 0.1 * (latency.toNanos() / 1000.0 - latencyMicros);
    while (inFlight < limit && !queue.isEmpty()) {
      admit(queue.pollFirstEntry().getValue());
    }
  }

  private void admit(Ticket ticket) {
    inFlight++;
    ticket.admitted();
  }

  @Override
  public void tick(Instant now) {
    // The calls' own deadline timers withdraw them from this queue.
  }

  @Override
  public Message.Load load(boolean draining) {
    long delay = (long) (latencyMicros * queue.size() / limit);
    return new Message.Load(inFlight, queue.size(), limit, delay, draining);
  }
}
