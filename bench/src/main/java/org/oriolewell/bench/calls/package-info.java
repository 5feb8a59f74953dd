/** Compares ways to record non-idempotent calls, in virtual time. */
@NullMarked
package org.oriolewell.bench.calls;

import org.jspecify.annotations.NullMarked;
