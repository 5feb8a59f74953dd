/** Tests of the configuration's distribution. */
@NullMarked
package org.oriolewell.runtime.config;

import org.jspecify.annotations.NullMarked;
