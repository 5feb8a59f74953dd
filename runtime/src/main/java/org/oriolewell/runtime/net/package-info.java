/** An event loop that runs the connections, timers and tasks of a process on one thread. */
@NullMarked
package org.oriolewell.runtime.net;

import org.jspecify.annotations.NullMarked;
