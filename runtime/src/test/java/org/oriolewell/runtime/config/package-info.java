/** Tests of the distribution of the configuration. */
@NullMarked
package org.oriolewell.runtime.config;

import org.jspecify.annotations.NullMarked;
