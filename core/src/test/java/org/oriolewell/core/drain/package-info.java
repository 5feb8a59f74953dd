/** Tests of the drain and stop of an agent. */
@NullMarked
package org.oriolewell.core.drain;

import org.jspecify.annotations.NullMarked;
