package org.oriolewell.agent;

import java.time.InstantSource;
import org.oriolewell.runtime.settings.SettingsException;

/** Starts agents with settings for tests. */
final class AgentFixture {
  private AgentFixture() {}

  /**
   * Starts an agent beside an upstream; the store's address has no listener unless extra sets it.
   */
  static Agent start(String kind, String upstreamUrl, String... extra) throws SettingsException {
    String text =
        """
        host = "host-1"
        pool = "pool-1"
        wire.port = 0
        operators.port = 0
        upstream.kind = "%s"
        upstream.url = "%s"
        """
            .formatted(kind, upstreamUrl);
    String all = text + String.join("\n", extra) + "\n";
    if (!all.contains("store.url")) {
      // Port 1 of the loopback interface has no listener, so the store is away.
      all += "store.url = \"http://127.0.0.1:1\"\n";
    }
    return Agent.start(AgentSettings.SPEC.parse("test", all), InstantSource.system());
  }
}
