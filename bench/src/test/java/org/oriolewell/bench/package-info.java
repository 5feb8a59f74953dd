/** JMH benchmarks of the decisions; {@code bench/README.md} gives the commands. */
@NullMarked
package org.oriolewell.bench;

import org.jspecify.annotations.NullMarked;
