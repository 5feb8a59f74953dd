/** Typed settings that are read from TOML files and validated before a program starts. */
@NullMarked
package org.oriolewell.runtime.settings;

import org.jspecify.annotations.NullMarked;
