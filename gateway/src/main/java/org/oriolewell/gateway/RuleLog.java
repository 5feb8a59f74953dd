package org.oriolewell.gateway;

import java.util.Collection;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.eligibility.CallScope;
import org.oriolewell.core.eligibility.ColdUpstreams;
import org.oriolewell.core.eligibility.Eligibility;
import org.oriolewell.core.roster.UpstreamEntry;
import org.oriolewell.core.route.AllowedRegions;
import org.oriolewell.core.route.RouteTable;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Records the upstreams that are cold, and logs which rules on upstreams the entries of the store
 * bring into force. Used on the event loop only.
 */
final class RuleLog implements ControlPlane.UpstreamListener {
  private static final CallScope ANYWHERE = new CallScope(AllowedRegions.ALL, 0);

  private final EventLoop loop;
  private final ControlPlane control;
  private final Regions regions;
  private final ColdUpstreams coldUpstreams;
  private final EventLog log;
  private @Nullable RouteTable checkedTable;

  RuleLog(
      EventLoop loop,
      ControlPlane control,
      Regions regions,
      ColdUpstreams coldUpstreams,
      EventLog log) {
    this.loop = loop;
    this.control = control;
    this.regions = regions;
    this.coldUpstreams = coldUpstreams;
    this.log = log;
    control.upstreamListener(this);
    control.onChange(this::checkRegions);
  }

  @Override
  public void onListed(UpstreamEntry entry, boolean duringTraffic) {
    boolean changed = coldUpstreams.listed(entry, duringTraffic, loop.now());
    if (changed
        && coldUpstreams.check(entry.instance(), ANYWHERE, loop.now())
            instanceof Eligibility.PermitNeeded needed) {
      log.event(GatewayEvent.UPSTREAM_COLD)
          .with("upstream", entry.instance().id())
          .with("permits_per_second", needed.perSecond())
          .write();
    }
  }

  /** Ends the cold time of the upstreams for which it is over. */
  void tick() {
    coldUpstreams
        .tick(loop.now())
        .forEach(
            upstream ->
                log.event(GatewayEvent.UPSTREAM_WARM).with("upstream", upstream.id()).write());
  }

  private void checkRegions() {
    RouteTable table = control.table();
    if (table == null || table.equals(checkedTable)) {
      return;
    }
    checkedTable = table;
    Collection<String> knownRegions = regions.all();
    table
        .regionRestrictions()
        .forEach(
            (owner, allowedRegions) ->
                allowedRegions.names().stream()
                    .filter(name -> !knownRegions.contains(name))
                    .forEach(
                        name ->
                            log.event(GatewayEvent.RULE_VALUE_INVALID)
                                .with("key", owner)
                                .with("region", name)
                                .with("problem", "the allowed region is not in gateway.zones")
                                .write()));
  }
}
