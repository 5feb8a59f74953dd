package org.oriolewell.entry;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.oriolewell.core.config.language.Subject;
import org.oriolewell.runtime.admin.QueryExchange;
import org.oriolewell.runtime.admin.QueryResponder;
import org.oriolewell.runtime.config.ConfigService;
import org.oriolewell.runtime.wire.Message;

/**
 * Passes agents' messages about the configuration to the {@link ConfigService} and answers or
 * forwards operators' queries.
 */
final class ControlMessageHandler implements ControlMessageListener {
  private final ConfigService config;
  private final QueryResponder responder;
  private final QueryExchange exchange;

  /**
   * Creates a handler that answers queries for this process.
   *
   * @param process process name of this entry
   * @param place region and zone of this entry, for its answers to queries
   * @param agents returns the connected agents
   */
  ControlMessageHandler(
      ConfigService config,
      String process,
      Map<String, Object> place,
      Supplier<List<AgentPeer>> agents) {
    this.config = config;
    responder =
        QueryResponder.of(
            subject ->
                subject == Subject.VERSIONS ? List.of(versionRow(process, place)) : List.of());
    exchange = QueryExchange.of(process, responder, agents::get);
  }

  private Map<String, Object> versionRow(String process, Map<String, Object> place) {
    return Map.of(
        "process", process,
        "role", "entry",
        "region", place.getOrDefault("region", ""),
        "zone", place.getOrDefault("zone", ""),
        "version", config.version());
  }

  /** Returns the exchange that sends operators' queries to the connected processes. */
  QueryExchange exchange() {
    return exchange;
  }

  @Override
  public void connected(AgentPeer peer, long configVersion) {
    config.connected(peer, configVersion);
  }

  @Override
  public void versionReceived(AgentPeer peer, long configVersion) {
    config.versionReceived(peer, configVersion);
  }

  @Override
  public void received(AgentPeer peer, Message message) {
    if (message instanceof Message.Query query) {
      peer.send(new Message.QueryResult(query.id(), responder.answer(query.question())));
    } else if (message instanceof Message.QueryResult result) {
      exchange.received(result);
    } else {
      config.received(peer, message);
    }
  }

  @Override
  public void disconnected(AgentPeer peer) {
    config.disconnected(peer);
  }
}
