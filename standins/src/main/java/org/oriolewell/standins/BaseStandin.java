package org.oriolewell.standins;

import java.net.InetSocketAddress;
import java.time.InstantSource;
import org.oriolewell.runtime.settings.Settings;

/** What every kind of stand-in inherits. */
abstract class BaseStandin implements Standin {
  final StandinServer server;
  final InstantSource clock;

  BaseStandin(String kind, Settings settings, InstantSource clock) {
    this.clock = clock;
    server = new StandinServer(kind, settings, clock);
  }

  @Override
  public InetSocketAddress address() {
    return server.address();
  }

  @Override
  public FaultPlan faults() {
    return server.faults;
  }

  @Override
  public ExecutionLedger executions() {
    return server.ledger;
  }

  @Override
  public void close() {
    server.close();
  }
}
