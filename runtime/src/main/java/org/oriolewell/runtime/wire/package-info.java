/** The MessagePack protocol between entries and agents. */
@NullMarked
package org.oriolewell.runtime.wire;

import org.jspecify.annotations.NullMarked;
