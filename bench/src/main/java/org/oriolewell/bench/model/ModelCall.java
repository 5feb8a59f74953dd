package org.oriolewell.bench.model;

import org.oriolewell.core.admission.AdmissionLoad;
import org.oriolewell.core.routing.CallResult;

/** One attempt of a request on its way to an upstream. */
final class ModelCall {
  final ModelRequest request;
  final ModelEntry entry;
  final String upstream;
  final long sentAt;
  boolean replied;

  ModelCall(ModelRequest request, ModelEntry entry, String upstream, long sentAt) {
    this.request = request;
    this.entry = entry;
    this.upstream = upstream;
    this.sentAt = sentAt;
  }

  /** Ends the call once; a second reply is ignored. */
  void reply(CallResult result, AdmissionLoad load) {
    if (!replied) {
      replied = true;
      entry.replied(this, result, load);
    }
  }

  /** Ends the call since its upstream was found dead. */
  void lost() {
    reply(CallResult.FAILED, new AdmissionLoad(0, 0, 1, 0));
  }
}
