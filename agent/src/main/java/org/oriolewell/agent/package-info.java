/** The agent: runs beside one upstream, which is called only through it. */
@NullMarked
package org.oriolewell.agent;

import org.jspecify.annotations.NullMarked;
