/** The operators' admin API, and questions to the connected processes. */
@NullMarked
package org.oriolewell.runtime.admin;

import org.jspecify.annotations.NullMarked;
