package org.oriolewell.bench.model;

import java.util.List;
import java.util.function.Consumer;
import org.oriolewell.core.admission.Admission;
import org.oriolewell.core.admission.AdmissionLoad;
import org.oriolewell.core.admission.AdmissionPolicy;
import org.oriolewell.core.admission.AdmissionSettings;
import org.oriolewell.core.admission.ConcurrencyLimit;
import org.oriolewell.core.admission.Ending;
import org.oriolewell.core.admission.FifoAdmission;
import org.oriolewell.core.admission.GradientLimit;
import org.oriolewell.core.admission.OfferedCall;
import org.oriolewell.core.admission.Verdict;
import org.oriolewell.core.routing.CallResult;

/** An upstream with its agent. */
final class ModelUpstream {
  private static final long FAIL_NANOS = 1_000_000L;
  private static final int MAX_QUEUED = 512;

  final String name;
  final String zone;
  private final VirtualTime time;
  private final ModelSettings settings;
  private final Scenario scenario;
  private final AdmissionPolicy<ModelCall> admission;
  private final Consumer<ModelCall> lostCalls;
  private int serving;

  ModelUpstream(
      String name,
      String zone,
      VirtualTime time,
      ModelSettings settings,
      Scenario scenario,
      PolicySpec policy,
      Consumer<ModelCall> lostCalls) {
    this.name = name;
    this.zone = zone;
    this.time = time;
    this.settings = settings;
    this.scenario = scenario;
    this.admission = admission(policy, settings);
    this.lostCalls = lostCalls;
  }

  private static AdmissionPolicy<ModelCall> admission(PolicySpec policy, ModelSettings settings) {
    return switch (policy.admission()) {
      case ADMISSION ->
          Admission.create(AdmissionSettings.defaults(), GradientLimit.create(2, 16, 256));
      case FIXED ->
          Admission.create(AdmissionSettings.defaults(), ConcurrencyLimit.fixed(settings.slots()));
      case FIFO -> FifoAdmission.create(settings.slots(), MAX_QUEUED);
      case NONE -> FifoAdmission.unlimited();
    };
  }

  AdmissionLoad load() {
    return admission.load();
  }

  void tick() {
    carryOut(admission.tick(time.now()));
  }

  /** Forgets a waiting call and returns whether it was waiting. */
  boolean cancel(ModelCall call) {
    return admission.canceled(call);
  }

  void receive(ModelCall call) {
    if (lost()) {
      lostCalls.accept(call);
      return;
    }
    ModelRequest request = call.request;
    long deadline = request.deadline - ModelSettings.oneWayNanos(zone, call.entry.zone);
    carryOut(
        admission.offer(
            new OfferedCall<>(
                call,
                "firm-" + request.firm,
                request.workspace,
                request.priority,
                "operation",
                deadline),
            time.now()));
  }

  boolean lost() {
    return scenario.lostZone().equals(zone) && time.now() >= scenario.lostAt() * 1e9;
  }

  private void carryOut(List<Verdict<ModelCall>> verdicts) {
    for (Verdict<ModelCall> verdict : verdicts) {
      if (verdict instanceof Verdict.Start) {
        serve(verdict.call());
      } else {
        reply(verdict.call(), CallResult.REFUSED);
      }
    }
  }

  private void serve(ModelCall call) {
    double second = time.now() * 1e-9;
    if (scenario.failing().at(name, second)) {
      time.after(FAIL_NANOS, () -> ended(call, Ending.FAILED, CallResult.FAILED));
      return;
    }
    serving++;
    double crowding = Math.max(1, (double) serving / settings.slots());
    double nanos = call.request.serviceNanos * crowding * scenario.slowness().of(name, second);
    time.after(
        (long) nanos,
        () -> {
          serving--;
          ended(call, Ending.ANSWERED, CallResult.ANSWERED);
        });
  }

  private void ended(ModelCall call, Ending ending, CallResult result) {
    carryOut(admission.finished(call, ending, time.now()));
    reply(call, result);
  }

  private void reply(ModelCall call, CallResult result) {
    AdmissionLoad load = admission.load();
    if (lost()) {
      lostCalls.accept(call);
    } else {
      time.after(ModelSettings.oneWayNanos(zone, call.entry.zone), () -> call.reply(result, load));
    }
  }
}
