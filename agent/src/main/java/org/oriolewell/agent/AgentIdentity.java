package org.oriolewell.agent;

import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.oriolewell.runtime.settings.Settings;

/**
 * Name and place of an agent.
 *
 * @param host name of the host
 * @param process host name with a random incarnation, unique for each run of the program
 * @param firm firm that owns the host
 * @param pool pool of the upstream
 * @param zone availability zone
 * @param region region
 */
record AgentIdentity(
    String host, String process, String firm, String pool, String zone, String region) {
  static AgentIdentity of(Settings settings, RandomGenerator random) {
    String host = settings.value(AgentSettings.HOST);
    return new AgentIdentity(
        host,
        host + "-" + HexFormat.of().toHexDigits(random.nextLong()),
        settings.value(AgentSettings.FIRM),
        settings.value(AgentSettings.POOL),
        settings.value(AgentSettings.ZONE),
        settings.value(AgentSettings.REGION));
  }
}
