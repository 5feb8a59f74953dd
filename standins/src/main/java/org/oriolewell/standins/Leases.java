package org.oriolewell.standins;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewell.runtime.log.EventLog;

/** Leases of a store. When one ends, the keys written with it are removed. */
final class Leases {
  private final InstantSource clock;
  private final StoreValues values;
  private final EventLog log;
  private final Map<String, Lease> leases = new HashMap<>();
  private long granted;

  private record Lease(Duration ttl, Instant end) {}

  Leases(InstantSource clock, StoreValues values, EventLog log) {
    this.clock = clock;
    this.values = values;
    this.log = log;
  }

  /** Grants a lease and returns its identity. */
  synchronized String grant(Duration ttl) {
    String id = "lease-" + ++granted;
    leases.put(id, new Lease(ttl, clock.instant().plus(ttl)));
    return id;
  }

  /** Returns whether a lease has not ended. */
  synchronized boolean live(String id) {
    Lease lease = leases.get(id);
    return lease != null && clock.instant().isBefore(lease.end());
  }

  /** Extends a live lease by its time from now on. */
  synchronized boolean renew(String id) {
    Lease lease = leases.get(id);
    if (lease == null || !live(id)) {
      return false;
    }
    leases.put(id, new Lease(lease.ttl(), clock.instant().plus(lease.ttl())));
    return true;
  }

  /** Ends a lease. */
  void end(String id) {
    synchronized (this) {
      leases.remove(id);
    }
    values.removeLease(id);
  }

  /** Ends the leases whose time has passed. */
  void expire() {
    List<String> ended = new ArrayList<>();
    synchronized (this) {
      leases.keySet().stream().filter(id -> !live(id)).forEach(ended::add);
    }
    for (String id : ended) {
      end(id);
      log.event(StandinEvent.LEASE_EXPIRED).with("lease", id).write();
    }
  }
}
