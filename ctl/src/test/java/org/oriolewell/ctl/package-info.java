/** Tests of the operators' program. */
@NullMarked
package org.oriolewell.ctl;

import org.jspecify.annotations.NullMarked;
