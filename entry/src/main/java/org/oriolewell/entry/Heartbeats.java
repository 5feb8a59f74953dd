package org.oriolewell.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.function.Supplier;

/** Lets every link dial, send heartbeats and find dead agents. */
final class Heartbeats implements Runnable {
  private final Supplier<Collection<AgentLink>> links;
  private final InstantSource clock;
  private final Duration pause;
  private Instant last;

  /**
   * Creates the task.
   *
   * @param pause time between two runs above which this process itself must have been paused
   */
  Heartbeats(Supplier<Collection<AgentLink>> links, InstantSource clock, Duration pause) {
    this.links = links;
    this.clock = clock;
    this.pause = pause;
    this.last = clock.instant();
  }

  @Override
  public void run() {
    Instant now = clock.instant();
    boolean paused = Duration.between(last, now).compareTo(pause) > 0;
    last = now;
    for (AgentLink link : links.get()) {
      if (paused) {
        link.excusePause();
      }
      link.tick();
    }
  }
}
