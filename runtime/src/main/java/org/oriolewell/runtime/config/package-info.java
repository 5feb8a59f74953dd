/** Distributes the configuration between processes and writes accepted changes to the store. */
@NullMarked
package org.oriolewell.runtime.config;

import org.jspecify.annotations.NullMarked;
