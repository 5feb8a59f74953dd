/** Tests of orders to engines. */
@NullMarked
package org.oriolewell.core.order;

import org.jspecify.annotations.NullMarked;
