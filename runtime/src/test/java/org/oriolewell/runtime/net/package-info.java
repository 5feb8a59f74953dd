/** Tests of the event loop, over loopback sockets. */
@NullMarked
package org.oriolewell.runtime.net;

import org.jspecify.annotations.NullMarked;
