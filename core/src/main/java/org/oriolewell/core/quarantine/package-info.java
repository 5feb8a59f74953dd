/** Quarantine of prompt parts that crash model engines. */
@NullMarked
package org.oriolewell.core.quarantine;

import org.jspecify.annotations.NullMarked;
