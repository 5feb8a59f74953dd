package org.oriolewell.core.upstream;

import java.util.OptionalInt;

/**
 * Load that an upstream states in an answer.
 *
 * @param running requests that it processes
 * @param waiting requests that wait in its queue
 * @param slots requests that it can process at the same time
 * @param slownessPercent time that work takes on its host, in percent of the usual time; empty if
 *     it isn't stated
 */
public record LoadReport(int running, int waiting, int slots, OptionalInt slownessPercent) {}
