/** Choice of an upstream for a whole request. */
@NullMarked
package org.oriolewell.core.placement;

import org.jspecify.annotations.NullMarked;
