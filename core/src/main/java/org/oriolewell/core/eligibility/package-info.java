/** Rules that decide which upstreams a request or a stage call may be sent to. */
@NullMarked
package org.oriolewell.core.eligibility;

import org.jspecify.annotations.NullMarked;
