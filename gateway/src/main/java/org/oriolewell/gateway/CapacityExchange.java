package org.oriolewell.gateway;

import java.time.Duration;
import org.oriolewell.core.capacity.CapacityCollector;
import org.oriolewell.core.capacity.CapacityReport;
import org.oriolewell.core.capacity.CapacitySums;
import org.oriolewell.core.capacity.SharedCapacity;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.wire.Message;

/**
 * Reports this gateway's load and measurements of upstreams to the collector of its region, and
 * collects the reports if this gateway is the collector. The collector is chosen by rendezvous
 * hashing among the usable gateways of the region; if it is lost, the next one starts without
 * reports and has them all after one interval.
 *
 * <p>Used on the event loop only.
 */
final class CapacityExchange implements PeerMesh.CapacityListener {
  /** Interval of reports and of sums; four messages a second each way for every gateway. */
  private static final Duration INTERVAL = Duration.ofMillis(250);

  /** Name under which the collector is chosen; no service has an empty name. */
  private static final String COLLECTOR_SERVICE = "";

  private final EventLoop loop;
  private final ControlPlane control;
  private final PeerMesh mesh;
  private final SharedCapacity capacity;
  private final CapacityCollector collector = CapacityCollector.create();

  CapacityExchange(EventLoop loop, ControlPlane control, PeerMesh mesh, SharedCapacity capacity) {
    this.loop = loop;
    this.control = control;
    this.mesh = mesh;
    this.capacity = capacity;
  }

  /** Starts to send reports and sums. */
  void start() {
    mesh.capacityListener(this);
    loop.every(INTERVAL, this::exchange);
  }

  private String collectorName() {
    return mesh.dispatcherName(COLLECTOR_SERVICE, control.self().region());
  }

  private void exchange() {
    long now = loop.now();
    String selfName = control.self().name();
    String collectorName = collectorName();
    CapacityReport report = capacity.nextReport(now);
    if (!collectorName.equals(selfName)) {
      mesh.send(
          collectorName,
          new Message.CapacityReport(
              report.upstreams(), report.tenthsOfWork(), report.measured(), report.gapMicros()));
      return;
    }
    collector.reported(selfName, report, now);
    CapacitySums sums = collector.nextSums(now);
    if (!sums.upstreams().isEmpty()) {
      capacity.received(sums, now);
      mesh.broadcast(
          new Message.CapacitySums(sums.upstreams(), sums.tenthsOfWork(), sums.levels()), false);
    }
  }

  @Override
  public void onReport(String origin, Message.CapacityReport report) {
    collector.reported(
        origin,
        new CapacityReport(
            report.upstreams(), report.tenthsOfWork(), report.measured(), report.gapMicros()),
        loop.now());
  }

  @Override
  public void onSums(String sender, Message.CapacitySums sums) {
    // A gateway that only believes to be the collector lacks the reports of the others.
    if (sender.equals(collectorName())) {
      capacity.received(
          new CapacitySums(sums.upstreams(), sums.tenthsOfWork(), sums.levels()), loop.now());
    }
  }
}
