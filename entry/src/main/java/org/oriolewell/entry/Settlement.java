package org.oriolewell.entry;

import java.util.List;
import java.util.Map;
import org.oriolewell.core.result.Outcome;

/**
 * The final outcome of an idempotency key.
 *
 * @param outcome the outcome common to all non-idempotent stages; unknown if they differ
 * @param stages outcome of each non-idempotent stage, as the callers' API shows it
 */
record Settlement(Outcome outcome, List<Map<String, Object>> stages) {}
