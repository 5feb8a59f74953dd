/**
 * Which calls are tried again, and how many.
 *
 * <p>An entry holds one {@link RetryBudget}. It calls {@code attempted} for each first attempt.
 * When an attempt fails it asks {@link RetryRule#mayRetry}, then {@code tryTake} with the pipeline,
 * and waits {@link Backoff#delay} before the next attempt. A hedge takes from the same budget.
 * Nothing here is thread-safe but the rules, which are immutable.
 */
@NullMarked
package org.oriolewell.core.retry;

import org.jspecify.annotations.NullMarked;
