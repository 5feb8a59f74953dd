package org.oriolewell.core.routing;

/**
 * An engine's report that it stored or evicted a prompt prefix.
 *
 * @param upstream host name of the engine
 * @param sequence number of the event at the engine, from 1; a jump means that events were lost
 * @param prefix prefix hash, see {@link PromptPrefix}
 * @param stored true if stored, false if evicted
 */
public record CacheEvent(String upstream, long sequence, long prefix, boolean stored) {}
