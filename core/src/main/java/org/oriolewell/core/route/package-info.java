/** Routes by host and path, the services behind them, and the workspaces that may use them. */
@NullMarked
package org.oriolewell.core.route;

import org.jspecify.annotations.NullMarked;
