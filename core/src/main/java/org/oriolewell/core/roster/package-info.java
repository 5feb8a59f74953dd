/** Upstreams that may be used, and freshness of a gateway's copy of the store's data. */
@NullMarked
package org.oriolewell.core.roster;

import org.jspecify.annotations.NullMarked;
