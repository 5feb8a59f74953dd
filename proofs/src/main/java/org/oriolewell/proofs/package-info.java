/** Specifications and failure tests of the whole system. */
@NullMarked
package org.oriolewell.proofs;

import org.jspecify.annotations.NullMarked;
