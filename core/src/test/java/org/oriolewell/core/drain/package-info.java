/** Tests of drain and planned stop. */
@NullMarked
package org.oriolewell.core.drain;

import org.jspecify.annotations.NullMarked;
