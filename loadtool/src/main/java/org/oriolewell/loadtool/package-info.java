/** An open-loop load generator and its report. */
@NullMarked
package org.oriolewell.loadtool;

import org.jspecify.annotations.NullMarked;
