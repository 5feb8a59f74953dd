import java.util.List;
import java.util.concurrent.TimeUnit;

/** The settings change while gateways start, and the platform tells them so by SIGHUP. */
final class EarlyHup {
  /** Least time between two signals: `gap_s` of the site file. */
  private static final int GAP_MILLIS = 2000;

  private static final int[] DELAYS = {100, 200, 300, 400, 600, 900};

  public static void main(String[] args) throws Exception {
    Deployment.run(args[0], EarlyHup::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    deployment.manifest(
        1,
        List.of(Deployment.route("permit-record", "unsafe", "permit-desk", 1000, 400, "")),
        List.of("{\"name\":\"permit-desk\"}"));
    deployment.awaitReady(deployment.startGateway("front-caerdydd-a-1"));
    int ended = 0;
    for (int delay : DELAYS) {
      Deployment.pause(GAP_MILLIS);
      Deployment.Gateway gateway = deployment.startGateway("front-caerdydd-a-2-" + delay);
      Deployment.pause(delay);
      if (Deployment.trouble()) {
        Deployment.signal("HUP", gateway.process);
        deployment.record("SIGHUP sent to " + gateway.name + ", " + delay + " ms after its start");
      }
      if (gateway.process.waitFor(2500, TimeUnit.MILLISECONDS)) {
        ended++;
        deployment.record(
            gateway.name + " has ended by itself with exit code " + gateway.process.exitValue());
      } else {
        deployment.awaitReady(gateway);
        gateway.process.destroyForcibly().waitFor();
      }
    }
    return ended > 0;
  }
}
