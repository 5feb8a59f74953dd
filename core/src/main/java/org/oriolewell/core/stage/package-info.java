/** Dispatch of pipeline stages: batching, ordering, space for results, progress of requests. */
@NullMarked
package org.oriolewell.core.stage;

import org.jspecify.annotations.NullMarked;
