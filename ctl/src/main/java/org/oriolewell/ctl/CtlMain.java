package org.oriolewell.ctl;

import java.time.InstantSource;

/** Entry point of the operators' command-line client {@code oriolewellctl}. */
public final class CtlMain {
  private CtlMain() {}

  /** Runs the command line {@code args} and ends the process with the resulting exit code. */
  public static void main(String[] args) {
    System.exit(new Ctl(InstantSource.system(), System.out, System.err).run(args));
  }
}
