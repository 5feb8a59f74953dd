/** The MessagePack protocol between entries and agents, and among gateways. */
@NullMarked
package org.oriolewell.runtime.wire;

import org.jspecify.annotations.NullMarked;
