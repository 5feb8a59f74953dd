package org.oriolewell.agent;

import java.time.InstantSource;
import org.oriolewell.runtime.settings.SettingsException;

/** Starts agents with settings for tests. */
final class AgentFixture {
  private AgentFixture() {}

  /**
   * Starts an agent of an upstream. The key-value service is unavailable unless the extra settings
   * contain its address.
   */
  static Agent start(String upstreamKind, String upstreamUrl, String... extraSettings)
      throws SettingsException {
    String baseSettings =
        """
        host = "host-1"
        pool = "pool-1"
        wire.port = 0
        operators.port = 0
        upstream.kind = "%s"
        upstream.url = "%s"
        """
            .formatted(upstreamKind, upstreamUrl);
    String settingsText = baseSettings + String.join("\n", extraSettings) + "\n";
    if (!settingsText.contains("store.url")) {
      // Nothing listens on port 1 of the loopback interface, so the store is unavailable.
      settingsText += "store.url = \"http://127.0.0.1:1\"\n";
    }
    return Agent.start(AgentSettings.SPEC.parse("test", settingsText), InstantSource.system());
  }
}
