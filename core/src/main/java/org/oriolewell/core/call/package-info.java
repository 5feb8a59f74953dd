/**
 * At-most-once execution of non-idempotent calls, identified by their idempotency keys.
 *
 * <p>The calls of a pool are divided into shards by a hash. {@link
 * org.oriolewell.core.call.ShardOwner} is the state machine of one process for one shard. It takes
 * events and returns actions; the process around it performs them against the key-value store, the
 * upstream and the dialers, which are the connected processes that send it calls. docs/design.md,
 * section 4.2, describes the protocol; {@code proofs/src/main/tla/Calls.tla} specifies it.
 */
@NullMarked
package org.oriolewell.core.call;

import org.jspecify.annotations.NullMarked;
