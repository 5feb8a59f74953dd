package org.oriolewell.core.admission;

/**
 * Limits of an {@link Admission}.
 *
 * @param maxQueued largest number of calls that wait
 * @param minTimeFactor a call runs only if its remaining time is at least its expected time at the
 *     upstream times this factor
 */
public record AdmissionSettings(int maxQueued, double minTimeFactor) {
  /** Returns the default settings. */
  public static AdmissionSettings defaults() {
    return new AdmissionSettings(512, 1.0);
  }
}
