/** Event streams as they pass through. */
@NullMarked
package org.oriolewell.core.stream;

import org.jspecify.annotations.NullMarked;
