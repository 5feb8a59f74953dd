/** Checks of the specifications and failure tests on real processes. */
@NullMarked
package org.oriolewell.proofs;

import org.jspecify.annotations.NullMarked;
