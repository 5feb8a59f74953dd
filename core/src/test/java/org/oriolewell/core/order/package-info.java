/** Tests of the orders to model engines. */
@NullMarked
package org.oriolewell.core.order;

import org.jspecify.annotations.NullMarked;
