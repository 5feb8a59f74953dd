package org.oriolewell.entry;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * All agents that this entry knows. The host list and the settings propose addresses; what an agent
 * says of itself decides its pool and zone, and only connected agents are members of a pool.
 */
final class AgentDirectory implements AutoCloseable {
  private static final Splitter WORDS =
      Splitter.on(CharMatcher.whitespace().or(CharMatcher.anyOf(",;()'\"")));

  private final String zone;
  private final String region;
  private final Set<InetSocketAddress> fixed = new HashSet<>();
  private final Map<InetSocketAddress, AgentLink> links = new ConcurrentHashMap<>();
  private final Function<InetSocketAddress, AgentLink> dialer;
  private volatile Map<String, PoolMembers> pools = Map.of();
  private volatile Map<String, AgentLink> owners = Map.of();

  /**
   * Creates a directory.
   *
   * @param zone this entry's availability zone
   * @param region this entry's region
   * @param fixed addresses that are always dialed
   * @param dialer makes a link to an address
   */
  AgentDirectory(
      String zone,
      String region,
      Collection<InetSocketAddress> fixed,
      Function<InetSocketAddress, AgentLink> dialer) {
    this.zone = zone;
    this.region = region;
    this.fixed.addAll(fixed);
    this.dialer = dialer;
    fixed.forEach(address -> links.computeIfAbsent(address, dialer));
  }

  /**
   * Takes the addresses that the host list proposes now. An agent that is missing from the list
   * stays as long as it is connected, since the list lags and may be wrong.
   *
   * @param proposed whether the agent at each address is leaving
   */
  synchronized void propose(Map<InetSocketAddress, Boolean> proposed) {
    proposed.forEach((address, leaving) -> links.computeIfAbsent(address, dialer).leaving(leaving));
    links
        .entrySet()
        .removeIf(
            entry -> {
              AgentLink link = entry.getValue();
              boolean drop =
                  !proposed.containsKey(entry.getKey())
                      && !fixed.contains(entry.getKey())
                      && link.peer().isEmpty();
              if (drop) {
                link.close();
              }
              return drop;
            });
  }

  /** Groups the connected agents again after one of them changed. */
  synchronized void refresh() {
    Map<String, List<AgentLink>> byPool = new HashMap<>();
    Map<String, AgentLink> byShard = new HashMap<>();
    Map<String, Long> epochs = new HashMap<>();
    for (AgentLink link : links.values()) {
      AgentLink.Peer peer = link.peer().orElse(null);
      if (peer == null) {
        continue;
      }
      byPool.computeIfAbsent(peer.pool(), pool -> new ArrayList<>()).add(link);
      peer.shards()
          .forEach(
              (shard, epoch) -> {
                if (epoch > epochs.getOrDefault(shard, Long.MIN_VALUE)) {
                  epochs.put(shard, epoch);
                  byShard.put(shard, link);
                }
              });
    }
    Map<String, PoolMembers> grouped = new HashMap<>();
    byPool.forEach((pool, members) -> grouped.put(pool, group(members)));
    pools = Map.copyOf(grouped);
    owners = Map.copyOf(byShard);
  }

  private PoolMembers group(List<AgentLink> members) {
    List<AgentLink> near = new ArrayList<>();
    List<AgentLink> middle = new ArrayList<>();
    List<AgentLink> far = new ArrayList<>();
    for (AgentLink link : members) {
      AgentLink.Peer peer = link.peer().orElse(null);
      if (peer == null) {
        continue;
      }
      if (!peer.region().equals(region)) {
        far.add(link);
      } else if (!peer.zone().equals(zone)) {
        middle.add(link);
      } else {
        near.add(link);
      }
    }
    return new PoolMembers(near, middle, far);
  }

  /** Returns the connected agents of a pool. */
  PoolMembers members(String pool) {
    return pools.getOrDefault(pool, PoolMembers.NONE);
  }

  /** Returns the connected agent that says it owns a shard, at the highest epoch. */
  Optional<AgentLink> owner(String shard) {
    return Optional.ofNullable(owners.get(shard));
  }

  /** Returns the connected agent whose process name or address occurs in a text as a word. */
  Optional<AgentLink> named(@Nullable String text) {
    if (text == null) {
      return Optional.empty();
    }
    Set<String> words = Set.copyOf(WORDS.splitToList(text));
    return links.values().stream().filter(link -> isNamed(link, words)).findFirst();
  }

  private static boolean isNamed(AgentLink link, Set<String> words) {
    String address = link.address().getHostString() + ":" + link.address().getPort();
    return link.peer().isPresent()
        && (words.contains(link.processName()) || words.contains(address));
  }

  /** Returns all links. */
  Collection<AgentLink> links() {
    return links.values();
  }

  @Override
  public void close() {
    links.values().forEach(AgentLink::close);
  }
}
