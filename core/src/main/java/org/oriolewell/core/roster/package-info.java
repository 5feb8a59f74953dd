/** Which upstreams exist and may be used, and how fresh that knowledge is. */
@NullMarked
package org.oriolewell.core.roster;

import org.jspecify.annotations.NullMarked;
