package org.oriolewell.gateway;

import java.util.OptionalDouble;
import org.oriolewell.core.ratelimit.NamedLimits;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/** Records the limits that upstreams name in their answers. Used on the event loop only. */
final class UpstreamLimits {
  private final EventLoop loop;
  private final EventLog log;
  private final NamedLimits limits = NamedLimits.create();

  UpstreamLimits(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.log = log;
  }

  /** Records the limit that an answer names; empty if it names none. */
  void stated(UpstreamInstance upstream, OptionalDouble perSecond) {
    if (limits.stated(UpstreamClient.poolKey(upstream), perSecond, loop.now())) {
      log.event(GatewayEvent.UPSTREAM_LIMITED)
          .with("upstream", upstream.id())
          .with("per_second", perSecond.isPresent() ? perSecond.getAsDouble() : null)
          .write();
    }
  }
}
