package org.oriolewell.agent;

import java.time.InstantSource;
import org.oriolewell.runtime.program.Program;

/** Main class of the program {@code oriolewell-agent}. */
public final class AgentMain {
  private AgentMain() {}

  /** Runs the agent until it is stopped; {@code --help} lists the flags. */
  public static void main(String[] args) {
    Program.of(
            "oriolewell-agent",
            AgentSettings.SPEC,
            settings -> Agent.start(settings, InstantSource.system()))
        .main(args);
  }
}
