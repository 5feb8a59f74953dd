/** Whether a request is accepted, where it is served, and when a refused one should come back. */
@NullMarked
package org.oriolewell.core.overload;

import org.jspecify.annotations.NullMarked;
