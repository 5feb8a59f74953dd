package org.oriolewell.bench.model;

/** Counts of one run, by firm and by half second of the request's arrival. */
final class Report {
  static final double SLICE_SECONDS = 0.5;
  private static final int SLICES = 400;

  private final int[][] offered = new int[2][SLICES];
  private final int[][] attained = new int[2][SLICES];
  long regionBytes;
  long attempts;
  long decisions;

  void offered(int firm, double second) {
    offered[firm][slice(second)]++;
  }

  void attained(int firm, double second) {
    attained[firm][slice(second)]++;
  }

  private static int slice(double second) {
    return (int) (second / SLICE_SECONDS);
  }

  /** Returns the attainment of requests that arrived in [from, to); firm -1 means both. */
  double attainment(int firm, double from, double to) {
    long all = 0;
    long good = 0;
    for (int f = 0; f < 2; f++) {
      for (int i = slice(from); i < slice(to) && (firm < 0 || firm == f); i++) {
        all += offered[f][i];
        good += attained[f][i];
      }
    }
    return all == 0 ? 1 : (double) good / all;
  }

  /** Returns the seconds after {@code from} until attainment stays at least {@code least}. */
  double recovery(double from, double to, double least) {
    double recovered = from;
    for (double t = from; t < to; t += SLICE_SECONDS) {
      if (attainment(-1, t, t + SLICE_SECONDS) < least) {
        recovered = t + SLICE_SECONDS;
      }
    }
    return recovered - from;
  }
}
