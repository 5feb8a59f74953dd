/** The configuration that operators change: its model, validation, changes and distribution. */
@NullMarked
package org.oriolewell.core.config;

import org.jspecify.annotations.NullMarked;
