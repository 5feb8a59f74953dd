/** Tests of the configuration document, its changes and its distribution. */
@NullMarked
package org.oriolewell.core.config;

import org.jspecify.annotations.NullMarked;
