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
 * Reads the host list again and again. After a failure the last list stays in use, and an entry of
 * the list that can't be used is left out.
 */
final class HostListPoller {
  private final HostList hosts;
  private final Consumer<List<AgentProposal>> proposals;
  private final Consumer<List<ConfigMember>> entries;
  private final EventLog log;
  private final AtomicBoolean running = new AtomicBoolean();
  private final Set<String> reported = new HashSet<>();
  private boolean available = true;

  /**
   * Creates a poller.
   *
   * @param proposals receives the agents of each list
   * @param entries receives the entries of each list
   */
  HostListPoller(
      HostList hosts,
      Consumer<List<AgentProposal>> proposals,
      Consumer<List<ConfigMember>> entries,
      EventLog log) {
    this.hosts = hosts;
    this.proposals = proposals;
    this.entries = entries;
    this.log = log;
  }

  /** Starts one read, unless the previous one hasn't ended. */
  void poll() {
    if (!running.compareAndSet(false, true)) {
      return;
    }
    hosts.hosts().whenComplete(this::read);
  }

  private void read(List<HostList.Host> list, Throwable failure) {
    try {
      if (failure == null) {
        available = true;
        proposals.accept(agents(list));
        entries.accept(
            list.stream()
                .filter(host -> host.kind().equals("entry"))
                .map(host -> new ConfigMember(host.host(), host.region()))
                .toList());
      } else if (available) {
        available = false;
        log.event(RuntimeEvent.HOST_LIST_UNAVAILABLE).cause(failure).write();
      }
    } finally {
      running.set(false);
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
        report(host);
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

  private void report(HostList.Host host) {
    if (reported.add(host.host())) {
      log.event(EntryEvent.HOST_ENTRY_IGNORED)
          .with("host", host.host())
          .with("address", host.address() + ":" + host.port())
          .write();
    }
  }
}
