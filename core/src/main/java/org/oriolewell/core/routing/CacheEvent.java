package org.oriolewell.core.routing;

/**
 * An engine's report that its prefix cache stored or evicted a prompt prefix.
 *
 * @param upstream host name of the engine
 * @param sequence number of the event at the engine, from 1; a gap means that events were lost
 * @param prefix hash of the prompt prefix, see {@link PromptPrefix}
 * @param stored true if the prefix was stored, false if it was evicted
 */
public record CacheEvent(String upstream, long sequence, long prefix, boolean stored) {}
