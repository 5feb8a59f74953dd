/** Choice of the upstream that runs a request, by load, health, distance and prompt prefix. */
@NullMarked
package org.oriolewell.core.placement;

import org.jspecify.annotations.NullMarked;
