/** Tests of the admin API. */
@NullMarked
package org.oriolewell.runtime.admin;

import org.jspecify.annotations.NullMarked;
