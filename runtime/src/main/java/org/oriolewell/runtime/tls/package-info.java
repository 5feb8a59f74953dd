/** TLS configuration from PEM files, which are reloaded when they change. */
@NullMarked
package org.oriolewell.runtime.tls;

import org.jspecify.annotations.NullMarked;
