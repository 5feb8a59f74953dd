package org.oriolewell.entry;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireClient;

/**
 * Components that all links of this entry to agents share.
 *
 * @param client opens connections to agents
 * @param hello creates the HELLO with which this entry introduces itself
 * @param configVersion returns the version of the configuration in force; 0 if there is none
 * @param clock monotonic clock
 * @param messages is notified of connected agents and of messages that belong to no call
 */
record LinkContext(
    WireClient client,
    Supplier<Message.Hello> hello,
    LongSupplier configVersion,
    InstantSource clock,
    ControlMessageListener messages,
    EntryMetrics metrics,
    EventLog log) {}
