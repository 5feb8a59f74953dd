package org.oriolewell.core.result;

/** Decides whether a second attempt may be made. */
@FunctionalInterface
public interface RetryBudget {
  /** Takes one retry from the budget; returns false if none is left. */
  boolean tryTake();
}
