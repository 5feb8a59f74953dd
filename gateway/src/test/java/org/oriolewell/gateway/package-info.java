/** Tests of the gateway's parts without a platform. */
@NullMarked
package org.oriolewell.gateway;

import org.jspecify.annotations.NullMarked;
