/**
 * Command-line client {@code oriolewellctl}, with which operators query and change the
 * configuration.
 */
@NullMarked
package org.oriolewell.ctl;

import org.jspecify.annotations.NullMarked;
