/** The operators' query and command language. docs/language.md has an example of every form. */
@NullMarked
package org.oriolewell.core.config.language;

import org.jspecify.annotations.NullMarked;
