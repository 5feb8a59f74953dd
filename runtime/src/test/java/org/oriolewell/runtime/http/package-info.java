/** Tests of the HTTP server for JSON APIs. */
@NullMarked
package org.oriolewell.runtime.http;

import org.jspecify.annotations.NullMarked;
