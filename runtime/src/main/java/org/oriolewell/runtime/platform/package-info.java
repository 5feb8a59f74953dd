/** Ports to the platform's key-value service and host list, with their HTTP clients. */
@NullMarked
package org.oriolewell.runtime.platform;

import org.jspecify.annotations.NullMarked;
