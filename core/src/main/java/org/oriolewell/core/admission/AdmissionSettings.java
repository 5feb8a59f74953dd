package org.oriolewell.core.admission;

/**
 * Settings of admission.
 *
 * @param maxQueued most calls that wait
 * @param minTimeFactor part of the expected time of a call that must remain for it to be run
 */
public record AdmissionSettings(int maxQueued, double minTimeFactor) {
  /** Returns the default settings. */
  public static AdmissionSettings defaults() {
    return new AdmissionSettings(512, 1.0);
  }
}
