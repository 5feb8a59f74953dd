/**
 * Drain and planned stop of an agent. {@link org.oriolewell.core.drain.DrainMachine} decides when
 * calls are refused, shards are released and the process ends; {@code charts/agent-drain.toml}
 * holds its states.
 */
@NullMarked
package org.oriolewell.core.drain;

import org.jspecify.annotations.NullMarked;
