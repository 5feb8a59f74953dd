/** Measurements of the decision code. */
@NullMarked
package org.oriolewell.bench;

import org.jspecify.annotations.NullMarked;
