/** The command line and life cycle that all programs share. */
@NullMarked
package org.oriolewell.runtime.program;

import org.jspecify.annotations.NullMarked;
