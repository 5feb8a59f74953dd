/** Tests of the configuration. */
@NullMarked
package org.oriolewell.core.config;

import org.jspecify.annotations.NullMarked;
