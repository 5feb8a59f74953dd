/** The agent: the only way to one upstream. */
@NullMarked
package org.oriolewell.agent;

import org.jspecify.annotations.NullMarked;
