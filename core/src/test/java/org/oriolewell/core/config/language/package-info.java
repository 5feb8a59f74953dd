/** Tests of the operators' language. */
@NullMarked
package org.oriolewell.core.config.language;

import org.jspecify.annotations.NullMarked;
