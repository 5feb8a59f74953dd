package org.oriolewell.agent;

import java.time.InstantSource;
import org.oriolewell.runtime.program.Program;

/** The program {@code oriolewell-agent}. */
public final class AgentMain {
  private AgentMain() {}

  /** Runs the program; see {@code --help}. */
  public static void main(String[] args) {
    Program.of(
            "oriolewell-agent",
            AgentSettings.SPEC,
            settings -> Agent.start(settings, InstantSource.system()))
        .main(args);
  }
}
