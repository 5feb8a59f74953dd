package org.oriolewell.agent;

import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.oriolewell.runtime.settings.Settings;

/**
 * Identity of an agent's process and the location of its host.
 *
 * @param host name of the host
 * @param process id of the process: the host name and a random number, different after each start
 * @param firm firm that owns the host
 * @param pool name of the pool that the upstream belongs to
 * @param zone availability zone of the host
 * @param region region of the host
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
