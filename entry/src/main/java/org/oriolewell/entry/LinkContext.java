package org.oriolewell.entry;

import java.time.Duration;
import java.time.InstantSource;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireClient;

/**
 * What all links to agents share.
 *
 * @param client dials agents
 * @param hello makes this process's first message
 * @param configVersion configuration version in force
 * @param ping time between heartbeats
 * @param dead time without PONG after which an agent is dead
 * @param clock clock that never goes back, for heartbeats
 * @param random jitter of the reconnect delays
 * @param control receives messages that belong to no call
 * @param changed called when an agent appears, leaves, drains or changes its shards
 */
record LinkContext(
    WireClient client,
    Supplier<Message.Hello> hello,
    LongSupplier configVersion,
    Duration ping,
    Duration dead,
    InstantSource clock,
    RandomGenerator random,
    ControlMessages control,
    Runnable changed,
    EntryMetrics metrics,
    EventLog log) {}
