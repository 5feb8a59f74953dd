/** The command line and life cycle that the server programs share. */
@NullMarked
package org.oriolewell.runtime.program;

import org.jspecify.annotations.NullMarked;
