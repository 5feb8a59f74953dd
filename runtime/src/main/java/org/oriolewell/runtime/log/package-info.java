/** Numbered, structured log events. */
@NullMarked
package org.oriolewell.runtime.log;

import org.jspecify.annotations.NullMarked;
