/** The entry process, which accepts callers' requests, runs their pipelines and answers them. */
@NullMarked
package org.oriolewell.entry;

import org.jspecify.annotations.NullMarked;
