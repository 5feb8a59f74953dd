/** What upstreams state about themselves in their answers, and when it allows to send to them. */
@NullMarked
package org.oriolewell.core.upstream;

import org.jspecify.annotations.NullMarked;
