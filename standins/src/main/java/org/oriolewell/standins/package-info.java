/**
 * Stand-ins for the platform's services and for upstreams: model engine, stage pool, plain service,
 * key-value store, host list and weight store. Tests start them in their own process; {@link
 * org.oriolewell.standins.StandinMain} runs one as a program.
 */
@NullMarked
package org.oriolewell.standins;

import org.jspecify.annotations.NullMarked;
