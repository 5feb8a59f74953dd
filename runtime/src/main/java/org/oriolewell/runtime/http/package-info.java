/** A small JSON layer over the Jetty server, and the operators' port. */
@NullMarked
package org.oriolewell.runtime.http;

import org.jspecify.annotations.NullMarked;
