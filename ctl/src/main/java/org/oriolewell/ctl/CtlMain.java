package org.oriolewell.ctl;

import java.time.InstantSource;

/** Starts the operators' program {@code oriolewellctl}. */
public final class CtlMain {
  private CtlMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] args) {
    System.exit(new Ctl(InstantSource.system(), System.out, System.err).run(args));
  }
}
