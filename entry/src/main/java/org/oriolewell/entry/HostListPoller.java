package org.oriolewell.entry;

import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.oriolewell.core.config.ConfigMember;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;
import org.oriolewell.runtime.platform.HostList;

/**
 * Reads the host list periodically. After a failed read the previous list stays in use. Agents of
 * the list without a usable address are left out.
 */
final class HostListPoller {
  private final HostList hosts;
  private final Consumer<List<AgentProposal>> agentConsumer;
  private final Consumer<List<ConfigMember>> entryConsumer;
  private final EventLog log;
  private final AtomicBoolean reading = new AtomicBoolean();
  private final Set<String> reportedHosts = new HashSet<>();
  private boolean lastReadSucceeded = true;

  /**
   * Creates a poller; {@link #poll} reads the list once.
   *
   * @param agentConsumer receives the agents of each list that was read
   * @param entryConsumer receives the entry processes of each list that was read
   */
  HostListPoller(
      HostList hosts,
      Consumer<List<AgentProposal>> agentConsumer,
      Consumer<List<ConfigMember>> entryConsumer,
      EventLog log) {
    this.hosts = hosts;
    this.agentConsumer = agentConsumer;
    this.entryConsumer = entryConsumer;
    this.log = log;
  }

  /** Starts to read the list, unless the previous read has not ended. */
  void poll() {
    if (!reading.compareAndSet(false, true)) {
      return;
    }
    hosts.hosts().whenComplete(this::handleList);
  }

  private void handleList(List<HostList.Host> list, Throwable failure) {
    try {
      if (failure == null) {
        lastReadSucceeded = true;
        agentConsumer.accept(agents(list));
        entryConsumer.accept(
            list.stream()
                .filter(host -> host.kind().equals("entry"))
                .map(host -> new ConfigMember(host.host(), host.region()))
                .toList());
      } else if (lastReadSucceeded) {
        lastReadSucceeded = false;
        log.event(RuntimeEvent.HOST_LIST_UNAVAILABLE).cause(failure).write();
      }
    } finally {
      reading.set(false);
    }
  }

  private List<AgentProposal> agents(List<HostList.Host> list) {
    List<AgentProposal> agents = new ArrayList<>();
    for (HostList.Host host : list) {
      if (!host.kind().equals("agent")) {
        continue;
      }
      if (host.host().isEmpty()
          || !InetAddresses.isInetAddress(host.address())
          || host.port() <= 0
          || host.port() > 65_535) {
        logIgnored(host);
        continue;
      }
      agents.add(
          new AgentProposal(
              host.host(),
              new InetSocketAddress(InetAddresses.forString(host.address()), host.port()),
              host.pool(),
              host.zone(),
              host.region(),
              host.state() == HostList.State.LEAVING));
    }
    return agents;
  }

  private void logIgnored(HostList.Host host) {
    if (reportedHosts.add(host.host())) {
      log.event(EntryEvent.HOST_ENTRY_IGNORED)
          .with("host", host.host())
          .with("address", host.address() + ":" + host.port())
          .write();
    }
  }
}
