/** Connections on one event loop. */
@NullMarked
package org.oriolewell.runtime.net;

import org.jspecify.annotations.NullMarked;
