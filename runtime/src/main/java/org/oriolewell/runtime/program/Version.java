package org.oriolewell.runtime.program;

/** Version of this build. */
public final class Version {
  private Version() {}

  /** Returns the version, as the build sets it. */
  public static String current() {
    return "0.1.0";
  }
}
