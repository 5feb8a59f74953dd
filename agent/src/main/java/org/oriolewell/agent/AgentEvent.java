package org.oriolewell.agent;

import java.util.logging.Level;
import org.oriolewell.runtime.log.LogEvent;

/** Log events of the agent. docs/log-events-agent.md lists them. */
public enum AgentEvent implements LogEvent {
  CALL_REFUSED(
      3001, Level.INFO, "A call was refused; the fields name the reason and what is known of it."),
  CALL_CANCELED(
      3002, Level.FINE, "The dialer no longer wants a call; its work was ended where allowed."),
  UPSTREAM_ANSWER_INVALID(
      3003, Level.WARNING, "The upstream sent an answer that breaks its protocol; check it."),
  UPSTREAM_CANCEL_FAILED(
      3004, Level.WARNING, "The engine did not accept a cancel; it may finish unwanted work."),
  DIALER_SILENT(
      3005, Level.WARNING, "A dialer with calls in flight stopped answering; it was disconnected."),
  TASK_FAILED(3006, Level.SEVERE, "A task of the agent failed; report it as a defect."),
  DRAIN_CHANGED(3020, Level.INFO, "The agent's drain state changed; the fields name the reason."),
  DRAIN_TIMED_OUT(
      3021, Level.WARNING, "A planned stop ended with calls in flight; raise stop.max_millis."),
  SHARD_TAKEN(3030, Level.INFO, "This agent took a shard of non-idempotent calls."),
  SHARD_NOT_TAKEN(
      3031, Level.INFO, "A shard stays with its present owner; its calls are sent there."),
  SHARD_RELEASED(3032, Level.INFO, "This agent gave a shard back without an ambiguous range."),
  SHARD_RELEASE_FAILED(
      3033,
      Level.WARNING,
      "A shard could not be released; its next owner reports some keys as unknown."),
  SHARD_LOST(3034, Level.WARNING, "Another agent took a shard over; this one stops using it."),
  SHARD_RECORD_INVALID(
      3035,
      Level.SEVERE,
      "A stored shard record cannot be read; its calls are refused. Repair it."),
  ORDER_DECIDED(3040, Level.INFO, "An order to the engine was chosen; the fields name the reason."),
  ORDER_CONFIRMED(3041, Level.INFO, "The engine's state shows that an order took effect."),
  ORDER_FAILED(3042, Level.WARNING, "An order to the engine failed; it is decided again later."),
  ORDER_CLAIM_LOST(
      3043, Level.WARNING, "Another process claimed the engine's orders; the claim is made again.");

  private final Description description;

  AgentEvent(int number, Level level, String meaning) {
    description = new Description(number, level, meaning);
  }

  @Override
  public Description description() {
    return description;
  }
}
