package org.oriolewell.runtime.program;

/** The product version of this build. */
public final class Version {
  private Version() {}

  /** Returns the product version, which {@code --version} prints. */
  public static String current() {
    return "0.1.0";
  }
}
