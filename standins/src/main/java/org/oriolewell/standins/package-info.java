/** Stand-ins for the platform's services and for upstreams. */
@NullMarked
package org.oriolewell.standins;

import org.jspecify.annotations.NullMarked;
