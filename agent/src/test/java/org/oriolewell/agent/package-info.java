/** Tests of the agent against fakes of its upstream and of the platform. */
@NullMarked
package org.oriolewell.agent;

import org.jspecify.annotations.NullMarked;
