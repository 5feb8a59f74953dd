/** Estimates of how fast upstreams are and how much load they handle well, learned from calls. */
@NullMarked
package org.oriolewell.core.capacity;

import org.jspecify.annotations.NullMarked;
