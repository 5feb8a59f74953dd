/** Distribution of the configuration between processes, and its acceptance by the store. */
@NullMarked
package org.oriolewell.runtime.config;

import org.jspecify.annotations.NullMarked;
