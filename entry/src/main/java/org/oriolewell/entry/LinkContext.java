package org.oriolewell.entry;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireClient;

/**
 * What all links to agents share.
 *
 * @param client dials agents
 * @param hello makes this process's first message
 * @param configVersion configuration version in force
 * @param clock clock that never goes back
 * @param messages hears of agents and of messages that belong to no call
 */
record LinkContext(
    WireClient client,
    Supplier<Message.Hello> hello,
    LongSupplier configVersion,
    InstantSource clock,
    PeerMessages messages,
    EntryMetrics metrics,
    EventLog log) {}
