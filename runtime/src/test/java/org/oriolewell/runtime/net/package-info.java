/** Tests of the event loop. */
@NullMarked
package org.oriolewell.runtime.net;

import org.jspecify.annotations.NullMarked;
