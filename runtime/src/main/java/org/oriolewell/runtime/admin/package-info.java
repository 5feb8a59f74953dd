/** The admin API for operators, and queries to the connected processes. */
@NullMarked
package org.oriolewell.runtime.admin;

import org.jspecify.annotations.NullMarked;
