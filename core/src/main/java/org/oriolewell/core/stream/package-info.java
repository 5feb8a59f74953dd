/** Splitting of forwarded streams of server-sent events. */
@NullMarked
package org.oriolewell.core.stream;

import org.jspecify.annotations.NullMarked;
