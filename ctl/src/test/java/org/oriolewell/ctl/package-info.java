/** Tests of the command-line client {@code oriolewellctl}. */
@NullMarked
package org.oriolewell.ctl;

import org.jspecify.annotations.NullMarked;
