/** Interfaces to the platform's key-value service and host list, and their HTTP clients. */
@NullMarked
package org.oriolewell.runtime.platform;

import org.jspecify.annotations.NullMarked;
