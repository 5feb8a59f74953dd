/** Request rates that upstreams name as their limits, for the sum of all gateways. */
@NullMarked
package org.oriolewell.core.ratelimit;

import org.jspecify.annotations.NullMarked;
