/** JMH benchmarks of the decisions; docs/measurements.md gives the commands. */
@NullMarked
package org.oriolewell.bench;

import org.jspecify.annotations.NullMarked;
