/**
 * Admission control: which calls an agent starts at its upstream, when, and which it refuses.
 *
 * <p>An agent holds one {@link Admission}. It passes each CALL to {@code offer}, each end of a
 * started call to {@code finished}, each CANCEL of a waiting call to {@code canceled}, and calls
 * {@code tick} every 20 ms. Each returns verdicts, to be carried out in order: start a call at the
 * upstream, or refuse it as {@code not_run}. {@code load} gives the figures for RESULT, REFUSED and
 * PONG. {@code shares} takes the shares from the configuration. A call is any value with {@code
 * equals}, unique among calls that wait or run. Nothing here is thread-safe.
 */
@NullMarked
package org.oriolewell.core.admission;

import org.jspecify.annotations.NullMarked;
