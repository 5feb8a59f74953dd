import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A plain server crashes while it writes an answer that ends with its channel. */
final class CrashCase {
  private static final int SERVERS = 8;
  private static final int FRAMED_ANSWERS = 24;
  private static final String ATTEMPT = "9c41d07be2a35f68";

  public static void main(String[] args) throws Exception {
    Kit.main(args, CrashCase::run);
  }

  private static boolean run(Kit.Record record, Path repository, Path folder, boolean trouble)
      throws Exception {
    Kit.Store store = new Kit.Store();
    List<ServerProcess.Handle> servers =
        ServerProcess.startAll(record, store, "permit-desk", "plain", SERVERS, 6);
    store.put(
        "op/config",
        Kit.manifest(
            7,
            Kit.route("bobo563", "unsafe", "permit-desk", 2000, 1, ""),
            "{\"name\":\"permit-desk\"}"));
    try (Kit.Gateway gateway = new Kit.Gateway(repository, folder, store.address(), Map.of())) {
      gateway.awaitReady();
      for (int i = 0; i < FRAMED_ANSWERS; i++) {
        try (Socket channel = gateway.connect()) {
          ask(record, channel, String.format("%016x", 0x14da6f38e5b20000L + i), "permit");
          Kit.readAnswer(channel.getInputStream(), new boolean[1]);
        }
      }
      try (Socket channel = gateway.connect()) {
        ask(record, channel, ATTEMPT, "u permit");
        ServerProcess.Handle crashing = ServerProcess.runner(servers, ATTEMPT);
        if (trouble) {
          Kit.daemon(
              () -> {
                Thread.sleep(200);
                record.line("server " + crashing.id + " crashes (SIGKILL)");
                crashing.process.destroyForcibly();
              });
        }
        boolean[] complete = new boolean[1];
        Kit.Message answer = Kit.readAnswer(channel.getInputStream(), complete);
        int length = answer == null ? 0 : answer.body.length;
        record.line(
            "the requester has "
                + (answer == null
                    ? "no answer"
                    : "status "
                        + answer.status()
                        + ", seal "
                        + answer.headers.getOrDefault("X-Oriolewell-Server-Seal", "none")
                        + ", Content-Length "
                        + answer.headers.getOrDefault("Content-Length", "none")
                        + ", "
                        + length
                        + " of 800 bytes"
                        + (complete[0] ? ", complete" : ", not complete")));
        return answer != null && answer.status() == 200 && complete[0] && length < 800;
      }
    } finally {
      servers.forEach(ServerProcess.Handle::close);
    }
  }

  private static void ask(Kit.Record record, Socket channel, String attempt, String body)
      throws Exception {
    record.line("the requester sends " + attempt);
    channel
        .getOutputStream()
        .write(Kit.bytes(Kit.request("POST", "/bobo563/lo7/2f", attempt, 2000, "", body)));
  }
}
