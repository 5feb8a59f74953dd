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
 * All agents that this entry knows. The host list and the settings propose them; this entry's own
 * connections decide their state, and what an agent says of itself decides its pool and zone.
 *
 * <p>An entry connects to the routers' bounded subsets, but to all agents of a pool with
 * non-idempotent calls, since each of them may own a shard.
 */
final class AgentDirectory implements LinkEvents, AutoCloseable {
  private static final Splitter WORDS =
      Splitter.on(CharMatcher.whitespace().or(CharMatcher.anyOf(",;()'\"")));

  private final List<AgentProposal> fixed;
  private final Settings settings;
  private final ConfigSource config;
  private final LinkContext context;
  private final Membership membership;
  private final Function<String, PoolRouter> routerMaker;
  private final Map<String, AgentLink> links = new ConcurrentHashMap<>();
  private final Map<String, PoolRouter> routers = new ConcurrentHashMap<>();
  private final Map<String, AgentProposal> proposals = new HashMap<>();
  private final Map<String, Instant> lastPing = new HashMap<>();
  private final Instant start;
  private volatile Map<String, List<AgentLink>> pools = Map.of();
  private long configVersion;

  /**
   * Times of the directory.
   *
   * @param ping time of silence after which an agent with calls in flight is sent a heartbeat
   * @param idlePing time between heartbeats to an agent without calls in flight; it bounds how long
   *     a configuration version that a lost push carried stays unknown
   * @param dead time after which an agent that doesn't answer is dead
   */
  record Settings(Duration ping, Duration idlePing, Duration dead) {}

  /**
   * Creates a directory.
   *
   * @param fixed agents that are known whatever the host list says
   * @param routers makes the router of a pool
   */
  AgentDirectory(
      List<AgentProposal> fixed,
      Settings settings,
      ConfigSource config,
      LinkContext context,
      Membership membership,
      Function<String, PoolRouter> routers) {
    this.fixed = List.copyOf(fixed);
    this.settings = settings;
    this.config = config;
    this.context = context;
    this.membership = membership;
    this.routerMaker = routers;
    this.start = context.clock().instant();
    propose(List.of());
  }

  private long now() {
    return Duration.between(start, context.clock().instant()).toNanos();
  }

  /**
   * Takes the agents that the host list proposes now. An agent that is missing from it stays as
   * long as it is connected, since the list lags and may be wrong.
   */
  void propose(Collection<AgentProposal> listed) {
    List<AgentLink> dropped = new ArrayList<>();
    synchronized (this) {
      Map<String, AgentProposal> current = new LinkedHashMap<>();
      listed.forEach(proposal -> current.put(proposal.name(), proposal));
      fixed.forEach(proposal -> current.put(proposal.name(), proposal));
      membership.propose(current.values().stream().map(AgentDirectory::proposal).toList());
      Set<String> known = new HashSet<>();
      membership.members().forEach(member -> known.add(member.name()));
      proposals.keySet().retainAll(known);
      proposals.putAll(current);
      links.values().stream().filter(link -> isObsolete(link, known)).forEach(dropped::add);
      dropped.forEach(link -> links.remove(link.name(), link));
      current
          .values()
          .forEach(
              proposal ->
                  links.computeIfAbsent(
                      proposal.name(),
                      name -> new AgentLink(name, proposal.address(), context, this)));
      refresh();
    }
    dropped.forEach(AgentLink::close);
  }

  private static Proposal proposal(AgentProposal proposal) {
    return new Proposal(proposal.name(), proposal.zone(), proposal.region(), proposal.leaving());
  }

  private boolean isObsolete(AgentLink link, Set<String> known) {
    AgentProposal proposal = proposals.get(link.name());
    return !known.contains(link.name())
        || (proposal != null
            && !proposal.address().equals(link.address())
            && link.peer().isEmpty());
  }

  /** Applies the passage of time: dials, sends heartbeats, closes dead connections. */
  void tick() {
    List<Runnable> work = new ArrayList<>();
    synchronized (this) {
      long now = now();
      boolean changed = membership.tick(now) | applyConfig();
      if (changed) {
        refresh();
      }
      Map<String, MemberState> states = new HashMap<>();
      membership.members().forEach(member -> states.put(member.name(), member.state()));
      for (AgentLink link : links.values()) {
        attend(link, states.getOrDefault(link.name(), MemberState.DEAD), now, work);
      }
    }
    work.forEach(Runnable::run);
  }

  private void attend(AgentLink link, MemberState state, long now, List<Runnable> work) {
    boolean connected = link.peer().isPresent();
    boolean wanted = isWanted(link, state);
    if (connected && state == MemberState.DEAD || link.silentSince(settings.dead())) {
      work.add(
          () -> {
            context.log().event(EntryEvent.AGENT_DEAD).with("agent", link.name()).write();
            link.disconnect();
          });
    } else if (connected && !wanted && link.inFlight() == 0) {
      work.add(link::disconnect);
    } else if (connected) {
      Instant instant = context.clock().instant();
      if (pingIsDue(link, instant)) {
        lastPing.put(link.name(), instant);
        membership.pingSent(link.name(), now);
        work.add(link::ping);
      }
    } else if (wanted && membership.mayDial(link.name(), now)) {
      work.add(link::dial);
    }
  }

  /** Any message shows that an agent lives, so only silence calls for a heartbeat. */
  private boolean pingIsDue(AgentLink link, Instant instant) {
    Duration interval = link.inFlight() > 0 ? settings.ping() : settings.idlePing();
    Instant ping = lastPing.getOrDefault(link.name(), Instant.EPOCH);
    Instant last = ping.isAfter(link.lastHeard()) ? ping : link.lastHeard();
    return !instant.isBefore(last.plus(interval));
  }

  private boolean isWanted(AgentLink link, MemberState state) {
    String pool = pool(link);
    if (pool.isEmpty() || state == MemberState.LEAVING) {
      return true;
    }
    PoolSpec spec = config.current().map(document -> document.pools().get(pool)).orElse(null);
    return spec == null || spec.shards() > 0 || router(pool).subset().contains(link.name());
  }

  private String pool(AgentLink link) {
    AgentProposal proposal = proposals.get(link.name());
    return link.peer().map(AgentLink.Peer::pool).orElse(proposal == null ? "" : proposal.pool());
  }

  /** Takes the drain state of upstreams from a new configuration. */
  private boolean applyConfig() {
    ConfigDocument document = config.current().orElse(null);
    if (document == null || document.version() == configVersion) {
      return false;
    }
    configVersion = document.version();
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

  /** Gives each pool's router its members again. */
  private void refresh() {
    Map<String, List<Member>> candidates = new HashMap<>();
    Map<String, List<AgentLink>> grouped = new HashMap<>();
    Set<String> up = new HashSet<>();
    for (Member member : membership.candidates(now())) {
      AgentLink link = links.get(member.name());
      if (link == null) {
        continue;
      }
      if (member.state() == MemberState.UP) {
        up.add(member.name());
      }
      String pool = pool(link);
      candidates.computeIfAbsent(pool, name -> new ArrayList<>()).add(asItSays(member, link));
    }
    for (AgentLink link : links.values()) {
      link.usable(up.contains(link.name()));
      grouped.computeIfAbsent(pool(link), name -> new ArrayList<>()).add(link);
    }
    grouped.keySet().forEach(this::router);
    routers.forEach((pool, router) -> router.update(candidates.getOrDefault(pool, List.of())));
    Map<String, List<AgentLink>> copy = new HashMap<>();
    grouped.forEach((pool, members) -> copy.put(pool, List.copyOf(members)));
    pools = Map.copyOf(copy);
  }

  private static Member asItSays(Member member, AgentLink link) {
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
  public synchronized void connected(AgentLink link, String process, Message.Load load) {
    if (links.get(link.name()) == link) {
      membership.connected(link.name(), process, load.draining());
      config.current().ifPresent(document -> applyConfig(link, document));
      refresh();
    }
  }

  @Override
  public void heard(AgentLink link, Message.Load load) {
    synchronized (this) {
      if (links.get(link.name()) == link
          && membership.frameReceived(link.name(), load.draining())) {
        refresh();
      }
    }
    router(pool(link)).reported(link.name(), load.queued());
  }

  @Override
  public synchronized void disconnected(AgentLink link) {
    if (links.get(link.name()) == link) {
      membership.disconnected(link.name(), now());
      refresh();
    }
  }

  /** Returns the router of a pool. */
  PoolRouter router(String pool) {
    return routers.computeIfAbsent(pool, routerMaker);
  }

  /** Returns the link to an upstream. */
  Optional<AgentLink> link(@Nullable String name) {
    return name == null ? Optional.empty() : Optional.ofNullable(links.get(name));
  }

  /** Returns the known agents of a pool, connected or not. */
  List<AgentLink> members(String pool) {
    return pools.getOrDefault(pool, List.of());
  }

  /** Returns the connected agent of a pool that says it owns a shard, at the highest epoch. */
  Optional<AgentLink> owner(String pool, String shard) {
    AgentLink owner = null;
    long highest = Long.MIN_VALUE;
    for (AgentLink link : members(pool)) {
      Long epoch = link.peer().map(peer -> peer.shards().get(shard)).orElse(null);
      if (epoch != null && epoch > highest) {
        owner = link;
        highest = epoch;
      }
    }
    return Optional.ofNullable(owner);
  }

  /** Returns the connected agent whose name, host, process or address is a word of a text. */
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
        && (words.contains(link.name())
            || words.contains(link.host())
            || words.contains(link.processName())
            || words.contains(address));
  }

  /** Returns the connected agents. */
  List<AgentPeer> peers() {
    return links.values().stream()
        .flatMap(link -> link.peer().stream())
        .map(AgentLink.Peer::agent)
        .toList();
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
