/** Structured log events, each with a number that identifies its kind. */
@NullMarked
package org.oriolewell.runtime.log;

import org.jspecify.annotations.NullMarked;
