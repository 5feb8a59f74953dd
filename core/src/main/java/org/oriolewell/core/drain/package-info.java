/**
 * Drain and stop of an agent. {@link org.oriolewell.core.drain.DrainMachine} decides when the agent
 * refuses calls, releases its shards and exits; {@code charts/agent-drain.toml} defines its states.
 */
@NullMarked
package org.oriolewell.core.drain;

import org.jspecify.annotations.NullMarked;
