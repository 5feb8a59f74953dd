/**
 * Non-idempotent calls, each of which runs at most once for its idempotency key.
 *
 * <p>The calls of a pool are divided into shards. {@link org.oriolewell.core.call.ShardOwner} is
 * the state machine of one process for one shard: events go in, actions come out, and the program
 * that hosts it talks to the store, the dialers and the upstream. docs/design.md, section 4.2,
 * gives the protocol and {@code proofs/src/main/tla/Calls.tla} its specification.
 */
@NullMarked
package org.oriolewell.core.call;

import org.jspecify.annotations.NullMarked;
