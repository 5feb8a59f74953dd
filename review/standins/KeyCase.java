import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An unknown key, equal to a known one but for its case, is sent on a kept channel. */
final class KeyCase {
  private static final String UNKNOWN_KEY = Kit.KEY.toUpperCase(Locale.ROOT);
  private static final Set<String> run = ConcurrentHashMap.newKeySet();

  public static void main(String[] args) throws Exception {
    Kit.main(args, KeyCase::run);
  }

  private static boolean run(Kit.Record record, Path repository, Path folder, boolean trouble)
      throws Exception {
    Kit.Store store = new Kit.Store();
    ServerSocket desk =
        Kit.startServer(
            0,
            () ->
                (request, out, channel) -> {
                  if (!Kit.misdirected(request, "i-1", out)) {
                    String attempt = request.header("X-Oriolewell-Attempt-Id");
                    run.add(attempt);
                    record.line(
                        "server i-1 runs "
                            + attempt
                            + " for tenant "
                            + request.header("X-Oriolewell-Tenant"));
                    out.write(
                        Kit.bytes(
                            Kit.answerHead(request, 200, "OK") + "Content-Length: 2\r\n\r\nok"));
                  }
                });
    store.put(
        "op/config",
        Kit.manifest(
            7,
            Kit.route("bobo563", "unsafe", "permit-desk", 2000, 1, ""),
            "{\"name\":\"permit-desk\"}"));
    store.put("servers/i-1", Kit.serverEntry("permit-desk", desk.getLocalPort(), 6, "ready", 1));
    record.line("the manifest holds one key: " + Kit.KEY);
    try (Kit.Gateway gateway = new Kit.Gateway(repository, folder, store.address(), Map.of());
        Socket kept = awaitReady(gateway);
        Socket fresh = gateway.connect()) {
      ask(record, kept, "9c41d07be2a35f68", Kit.KEY);
      ask(record, kept, "14da6f38e5b2907c", trouble ? UNKNOWN_KEY : Kit.KEY);
      // For comparison: on a channel of its own the unknown key is refused.
      ask(record, fresh, "e5b2907c14da6f38", UNKNOWN_KEY);
    }
    return (trouble && run.contains("14da6f38e5b2907c")) || run.contains("e5b2907c14da6f38");
  }

  private static Socket awaitReady(Kit.Gateway gateway) throws Exception {
    gateway.awaitReady();
    return gateway.connect();
  }

  private static void ask(Kit.Record record, Socket channel, String attempt, String key)
      throws Exception {
    record.line(
        "the requester sends " + attempt + " with key " + key + " on channel " + channel.getLocalPort());
    channel
        .getOutputStream()
        .write(
            Kit.bytes(
                Kit.request("POST", "/bobo563/lo7/2f", attempt, 2000, "", "permit")
                    .replace("Bearer " + Kit.KEY, "Bearer " + key)));
    Kit.Message answer = Kit.readAnswer(channel.getInputStream(), new boolean[1]);
    record.line("the answer to " + attempt + " is " + answer.status());
  }
}
