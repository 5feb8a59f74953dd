/** Admission under overload: which region serves a request, and when a refused one may retry. */
@NullMarked
package org.oriolewell.core.overload;

import org.jspecify.annotations.NullMarked;
