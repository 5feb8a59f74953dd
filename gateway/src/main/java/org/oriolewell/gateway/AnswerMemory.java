package org.oriolewell.gateway;

import java.util.List;
import org.oriolewell.core.overload.BufferBudget;
import org.oriolewell.runtime.log.EventLog;

/**
 * Memory of all answers in progress: what was received of them and what callers have not read. If
 * it exceeds its limit, the largest answers are ended. Used on the event loop only.
 */
final class AnswerMemory {
  private final BufferBudget budget;
  private final long maxBytes;
  private final EventLog log;

  /**
   * Creates a memory that is empty.
   *
   * @param maxBytes largest sum of all answers, in bytes
   */
  AnswerMemory(long maxBytes, EventLog log) {
    this.budget = BufferBudget.of(maxBytes);
    this.maxBytes = maxBytes;
    this.log = log;
  }

  /** Returns the largest sum of all answers, in bytes. */
  long maxBytes() {
    return maxBytes;
  }

  /** Returns the sum of all answers, in bytes. */
  long bytes() {
    return budget.bytes();
  }

  void add(BufferBudget.Buffer buffer) {
    budget.add(buffer);
  }

  void remove(BufferBudget.Buffer buffer) {
    budget.remove(buffer);
  }

  /**
   * Records that a buffer has grown, and ends the largest answers if there is too little memory.
   */
  void grown(long addedBytes) {
    List<BufferBudget.Buffer> discarded = budget.grown(addedBytes);
    if (!discarded.isEmpty()) {
      log.event(GatewayEvent.ANSWERS_DISCARDED)
          .with("answers", discarded.size())
          .with("limit", maxBytes)
          .write();
      discarded.forEach(BufferBudget.Buffer::discard);
    }
  }
}
