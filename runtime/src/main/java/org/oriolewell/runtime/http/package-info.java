/** An HTTP server for JSON APIs, built on Jetty, and the routes of the operators' port. */
@NullMarked
package org.oriolewell.runtime.http;

import org.jspecify.annotations.NullMarked;
