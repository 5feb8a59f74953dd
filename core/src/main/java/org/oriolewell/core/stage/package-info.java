/** Dispatch of pipeline stages: batching, ordering, result space and a request's progress. */
@NullMarked
package org.oriolewell.core.stage;

import org.jspecify.annotations.NullMarked;
