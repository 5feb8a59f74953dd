package org.oriolewell.bench.model;

import java.util.ArrayList;
import java.util.List;

/** One request of a caller. */
final class ModelRequest {
  final int firm;
  final String workspace;
  final int priority;
  final long arrivedAt;
  final long deadline;
  final double serviceNanos;
  final List<String> tried = new ArrayList<>();
  final List<ModelCall> calls = new ArrayList<>();
  int open;
  boolean done;

  ModelRequest(
      int firm,
      String workspace,
      int priority,
      long arrivedAt,
      long deadline,
      double serviceNanos) {
    this.firm = firm;
    this.workspace = workspace;
    this.priority = priority;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
    this.serviceNanos = serviceNanos;
  }
}
