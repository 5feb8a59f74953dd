/** Typed settings, read from TOML files and checked as a whole. */
@NullMarked
package org.oriolewell.runtime.settings;

import org.jspecify.annotations.NullMarked;
