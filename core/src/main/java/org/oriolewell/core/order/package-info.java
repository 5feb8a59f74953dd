/**
 * Orders that change the models and role of a model engine. {@link
 * org.oriolewell.core.order.OrderMachine} brings the engine to the state that the configuration
 * wants, one order at a time, under a fencing token that it claims in the store.
 */
@NullMarked
package org.oriolewell.core.order;

import org.jspecify.annotations.NullMarked;
