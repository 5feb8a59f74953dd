package org.oriolewell.gateway;

import org.oriolewell.core.overload.BodyRate;
import org.oriolewell.runtime.net.EventLoop;

/**
 * What the connections of one listening port share.
 *
 * @param loop event loop of the process
 * @param answers memory of answers in progress and of output that callers have not read
 * @param pressure memory of what callers send
 * @param turns turns in which input is read
 * @param bodyRate least rate at which bodies must arrive
 */
record CallerResources(
    EventLoop loop,
    AnswerMemory answers,
    CallerPressure pressure,
    CallerTurns turns,
    BodyRate bodyRate) {}
