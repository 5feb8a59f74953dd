/** Routes by host and path, the services that run their requests, and workspaces with API keys. */
@NullMarked
package org.oriolewell.core.route;

import org.jspecify.annotations.NullMarked;
