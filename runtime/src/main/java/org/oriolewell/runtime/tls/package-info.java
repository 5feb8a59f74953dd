/** TLS from PEM files, with reload when the files change. */
@NullMarked
package org.oriolewell.runtime.tls;

import org.jspecify.annotations.NullMarked;
