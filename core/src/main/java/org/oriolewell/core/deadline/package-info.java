/**
 * Division of a request's remaining time among its stages.
 *
 * <p>An entry holds one {@link DeadlinePlanner}. It calls {@code observed} with the duration of
 * each answered stage. Before each stage it asks {@code plan} with the stages that remain and the
 * time that remains; if the plan is not reachable, the request is refused at once, otherwise the
 * stage's call gets {@code budget} as its remaining time. For an idempotent stage it may start a
 * second attempt after {@code hedgeDelay} if the retry budget allows. Nothing here is thread-safe.
 */
@NullMarked
package org.oriolewell.core.deadline;

import org.jspecify.annotations.NullMarked;
