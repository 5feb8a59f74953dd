/**
 * Retries: rules which calls are retried, budgets that limit how many, and backoff.
 *
 * <p>An entry holds one {@link RetryBudget}. The entry calls {@code attempted} for each first
 * attempt. When an attempt fails, the entry asks {@link RetryRule#mayRetry}, then {@code tryTake}
 * with the pipeline, and waits for {@link Backoff#delay} before the next attempt. Hedges take
 * tokens from the same budget. Only the rules, which are immutable, are thread-safe.
 */
@NullMarked
package org.oriolewell.core.retry;

import org.jspecify.annotations.NullMarked;
