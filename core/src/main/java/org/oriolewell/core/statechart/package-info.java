/** Interprets state charts, which are TOML files under {@code resources/charts}. */
@NullMarked
package org.oriolewell.core.statechart;

import org.jspecify.annotations.NullMarked;
