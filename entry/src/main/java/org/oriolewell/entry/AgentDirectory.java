package org.oriolewell.entry;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.PoolSpec;
import org.oriolewell.core.config.UpstreamSpec;
import org.oriolewell.core.membership.Member;
import org.oriolewell.core.membership.MemberState;
import org.oriolewell.core.membership.Membership;
import org.oriolewell.core.membership.Proposal;
import org.oriolewell.runtime.wire.Message;

/**
 * All agents that this entry knows, with the connections to them. The host list and the settings
 * propose agents; the state of this entry's own connection decides whether an agent is used, and
 * the agent's HELLO decides its pool and zone.
 *
 * <p>An entry connects only to the bounded subset of each pool that the pool's router selects, but
 * to all agents of a pool with shards, since each of them may own a shard of the non-idempotent
 * calls.
 */
final class AgentDirectory implements LinkListener, AutoCloseable {
  private static final Splitter WORD_SPLITTER =
      Splitter.on(CharMatcher.whitespace().or(CharMatcher.anyOf(",;()'\"")));

  private final List<AgentProposal> staticAgents;
  private final Settings settings;
  private final ConfigSource configSource;
  private final LinkContext context;
  private final Membership membership;
  private final Function<String, PoolRouter> routerFactory;
  private final Map<String, AgentLink> links = new ConcurrentHashMap<>();
  private final Map<String, PoolRouter> routers = new ConcurrentHashMap<>();
  private final Map<String, AgentProposal> proposals = new HashMap<>();
  private final Map<String, Instant> lastPingAt = new HashMap<>();
  private final Instant startedAt;

  /** Known agents by pool, connected or not; replaced as a whole. */
  private volatile Map<String, List<AgentLink>> linksByPool = Map.of();

  /** Version of the configuration whose drain states were applied last. */
  private long appliedConfigVersion;

  /**
   * Time limits of the heartbeats to agents.
   *
   * @param pingInterval time of silence after which an agent with calls in flight is sent a
   *     heartbeat
   * @param idlePingInterval time of silence after which an agent without calls in flight is sent a
   *     heartbeat; it limits how long this entry stays unaware of a configuration version whose
   *     push was lost
   * @param deadTimeout time without an answer after which an agent counts as dead and is
   *     disconnected
   */
  record Settings(Duration pingInterval, Duration idlePingInterval, Duration deadTimeout) {}

  /**
   * Creates a directory of the statically configured agents.
   *
   * @param staticAgents agents of the settings, which stay known if the host list doesn't contain
   *     them
   * @param newRouterFactory creates the router of the pool with the given name
   */
  AgentDirectory(
      List<AgentProposal> staticAgents,
      Settings settings,
      ConfigSource configSource,
      LinkContext context,
      Membership membership,
      Function<String, PoolRouter> newRouterFactory) {
    this.staticAgents = List.copyOf(staticAgents);
    this.settings = settings;
    this.configSource = configSource;
    this.context = context;
    this.membership = membership;
    this.routerFactory = newRouterFactory;
    this.startedAt = context.clock().instant();
    propose(List.of());
  }

  private long nowNanos() {
    return Duration.between(startedAt, context.clock().instant()).toNanos();
  }

  /**
   * Replaces the agents of the host list by those that it contains now. An agent that is missing
   * from the list stays known as long as it is connected, since the list lags and may be wrong.
   */
  void propose(Collection<AgentProposal> listedAgents) {
    List<AgentLink> removedLinks = new ArrayList<>();
    synchronized (this) {
      Map<String, AgentProposal> proposalsByName = new LinkedHashMap<>();
      listedAgents.forEach(proposal -> proposalsByName.put(proposal.name(), proposal));
      staticAgents.forEach(proposal -> proposalsByName.put(proposal.name(), proposal));
      membership.propose(
          proposalsByName.values().stream().map(AgentDirectory::memberProposal).toList());
      Set<String> memberNames = new HashSet<>();
      membership.members().forEach(member -> memberNames.add(member.name()));
      proposals.keySet().retainAll(memberNames);
      proposals.putAll(proposalsByName);
      links.values().stream()
          .filter(link -> isObsolete(link, memberNames))
          .forEach(removedLinks::add);
      removedLinks.forEach(link -> links.remove(link.name(), link));
      proposalsByName
          .values()
          .forEach(
              proposal ->
                  links.computeIfAbsent(
                      proposal.name(),
                      name -> new AgentLink(name, proposal.address(), context, this)));
      updateRouters();
    }
    removedLinks.forEach(AgentLink::close);
  }

  private static Proposal memberProposal(AgentProposal proposal) {
    return new Proposal(proposal.name(), proposal.zone(), proposal.region(), proposal.leaving());
  }

  private boolean isObsolete(AgentLink link, Set<String> memberNames) {
    AgentProposal proposal = proposals.get(link.name());
    return !memberNames.contains(link.name())
        || (proposal != null
            && !proposal.address().equals(link.address())
            && link.peer().isEmpty());
  }

  /**
   * Connects to agents, sends the heartbeats that are due and closes connections to dead agents;
   * called periodically.
   */
  void tick() {
    List<Runnable> actions = new ArrayList<>();
    synchronized (this) {
      long now = nowNanos();
      boolean candidatesChanged = membership.tick(now) | applyConfig();
      if (candidatesChanged) {
        updateRouters();
      }
      Map<String, MemberState> states = new HashMap<>();
      membership.members().forEach(member -> states.put(member.name(), member.state()));
      for (AgentLink link : links.values()) {
        maintainConnection(link, states.getOrDefault(link.name(), MemberState.DEAD), now, actions);
      }
    }
    actions.forEach(Runnable::run);
  }

  private void maintainConnection(
      AgentLink link, MemberState state, long now, List<Runnable> actions) {
    boolean connected = link.peer().isPresent();
    boolean shouldConnect = shouldConnect(link, state);
    if (connected && state == MemberState.DEAD || link.hasNoHelloAfter(settings.deadTimeout())) {
      actions.add(
          () -> {
            context.log().event(EntryEvent.AGENT_DEAD).with("agent", link.name()).write();
            link.disconnect();
          });
    } else if (connected && !shouldConnect && link.callsInFlight() == 0) {
      actions.add(link::disconnect);
    } else if (connected) {
      Instant currentTime = context.clock().instant();
      if (pingIsDue(link, currentTime)) {
        lastPingAt.put(link.name(), currentTime);
        membership.pingSent(link.name(), now);
        actions.add(link::ping);
      }
    } else if (shouldConnect && membership.mayDial(link.name(), now)) {
      actions.add(link::dial);
    }
  }

  /** Returns whether a heartbeat is due; any message from the agent postpones the next one. */
  private boolean pingIsDue(AgentLink link, Instant currentTime) {
    Duration interval =
        link.callsInFlight() > 0 ? settings.pingInterval() : settings.idlePingInterval();
    Instant lastPing = lastPingAt.getOrDefault(link.name(), Instant.EPOCH);
    Instant lastContactAt =
        lastPing.isAfter(link.lastMessageAt()) ? lastPing : link.lastMessageAt();
    return !currentTime.isBefore(lastContactAt.plus(interval));
  }

  private boolean shouldConnect(AgentLink link, MemberState state) {
    String pool = poolName(link);
    if (pool.isEmpty() || state == MemberState.LEAVING) {
      return true;
    }
    PoolSpec spec = configSource.current().map(document -> document.pools().get(pool)).orElse(null);
    return spec == null || spec.shards() > 0 || router(pool).subset().contains(link.name());
  }

  private String poolName(AgentLink link) {
    AgentProposal proposal = proposals.get(link.name());
    return link.peer().map(AgentLink.Peer::pool).orElse(proposal == null ? "" : proposal.pool());
  }

  /**
   * Applies the drain states of upstreams if the configuration has changed; returns whether it has.
   */
  private boolean applyConfig() {
    ConfigDocument document = configSource.current().orElse(null);
    if (document == null || document.version() == appliedConfigVersion) {
      return false;
    }
    appliedConfigVersion = document.version();
    links.values().forEach(link -> applyConfig(link, document));
    return true;
  }

  private void applyConfig(AgentLink link, ConfigDocument document) {
    UpstreamSpec upstream = document.upstreams().get(link.name());
    if (upstream == null) {
      upstream = document.upstreams().get(link.host());
    }
    membership.configuredDraining(link.name(), upstream != null && upstream.draining());
  }

  /**
   * Passes the current members of each pool to its router, after a change of members or their
   * states.
   */
  private void updateRouters() {
    Map<String, List<Member>> candidates = new HashMap<>();
    Map<String, List<AgentLink>> groupedLinks = new HashMap<>();
    Set<String> upNames = new HashSet<>();
    for (Member member : membership.candidates(nowNanos())) {
      AgentLink link = links.get(member.name());
      if (link == null) {
        continue;
      }
      if (member.state() == MemberState.UP) {
        upNames.add(member.name());
      }
      String pool = poolName(link);
      candidates
          .computeIfAbsent(pool, name -> new ArrayList<>())
          .add(withReportedPlace(member, link));
    }
    for (AgentLink link : links.values()) {
      link.usable(upNames.contains(link.name()));
      groupedLinks.computeIfAbsent(poolName(link), name -> new ArrayList<>()).add(link);
    }
    groupedLinks.keySet().forEach(this::router);
    routers.forEach((pool, router) -> router.update(candidates.getOrDefault(pool, List.of())));
    Map<String, List<AgentLink>> immutableLists = new HashMap<>();
    groupedLinks.forEach((pool, members) -> immutableLists.put(pool, List.copyOf(members)));
    linksByPool = Map.copyOf(immutableLists);
  }

  private static Member withReportedPlace(Member member, AgentLink link) {
    return link.peer()
        .map(
            peer ->
                new Member(
                    member.name(),
                    member.incarnation(),
                    peer.zone(),
                    peer.region(),
                    member.state()))
        .orElse(member);
  }

  @Override
  public synchronized void connected(AgentLink link, String processName, Message.Load load) {
    if (links.get(link.name()) == link) {
      membership.connected(link.name(), processName, load.draining());
      configSource.current().ifPresent(document -> applyConfig(link, document));
      updateRouters();
    }
  }

  @Override
  public void loadReported(AgentLink link, Message.Load load) {
    synchronized (this) {
      if (links.get(link.name()) == link
          && membership.frameReceived(link.name(), load.draining())) {
        updateRouters();
      }
    }
    router(poolName(link)).reported(link.name(), load.queued());
  }

  @Override
  public synchronized void disconnected(AgentLink link) {
    if (links.get(link.name()) == link) {
      membership.disconnected(link.name(), nowNanos());
      updateRouters();
    }
  }

  /** Returns the router of a pool; creates it at the first call for the pool. */
  PoolRouter router(String pool) {
    return routers.computeIfAbsent(pool, routerFactory);
  }

  /** Returns the link to the agent with the given name, which is also the name of its upstream. */
  Optional<AgentLink> link(@Nullable String name) {
    return name == null ? Optional.empty() : Optional.ofNullable(links.get(name));
  }

  /** Returns the known agents of a pool, connected or not. */
  List<AgentLink> members(String pool) {
    return linksByPool.getOrDefault(pool, List.of());
  }

  /**
   * Returns the connected agent that reports owning a shard of a pool; of several, the one with the
   * highest epoch.
   */
  Optional<AgentLink> owner(String pool, String shard) {
    AgentLink owner = null;
    long highestEpoch = Long.MIN_VALUE;
    for (AgentLink link : members(pool)) {
      Long epoch = link.peer().map(peer -> peer.shards().get(shard)).orElse(null);
      if (epoch != null && epoch > highestEpoch) {
        owner = link;
        highestEpoch = epoch;
      }
    }
    return Optional.ofNullable(owner);
  }

  /**
   * Returns the connected agent whose name, host, process or address occurs as a word in a text,
   * such as the detail of a refusal.
   */
  Optional<AgentLink> findNamedIn(@Nullable String text) {
    if (text == null) {
      return Optional.empty();
    }
    Set<String> words = Set.copyOf(WORD_SPLITTER.splitToList(text));
    return links.values().stream().filter(link -> isNamed(link, words)).findFirst();
  }

  private static boolean isNamed(AgentLink link, Set<String> words) {
    String address = link.address().getHostString() + ":" + link.address().getPort();
    return link.peer().isPresent()
        && (words.contains(link.name())
            || words.contains(link.host())
            || words.contains(link.processName())
            || words.contains(address));
  }

  /** Returns the connections to the agents that have sent HELLO. */
  List<AgentPeer> peers() {
    return links.values().stream()
        .flatMap(link -> link.peer().stream())
        .map(AgentLink.Peer::agent)
        .toList();
  }

  /** Returns the links to all known agents, connected or not. */
  Collection<AgentLink> links() {
    return links.values();
  }

  @Override
  public void close() {
    links.values().forEach(AgentLink::close);
  }
}
