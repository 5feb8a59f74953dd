package org.oriolewell.proofs;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Runs TLC on a specification, each time in a process of its own since TLC keeps static state. */
final class ModelChecker {
  private static final Path SPECIFICATIONS = Path.of("src", "main", "tla");
  private static final long TIMEOUT_SECONDS = 600;

  /**
   * Result of a run.
   *
   * @param exitCode 0 if no error was found, 12 if an invariant is violated
   * @param output what TLC printed
   */
  record Result(int exitCode, String output) {
    /** TLC's exit code for a violated invariant. */
    static final int VIOLATED = 12;

    boolean violates(String invariant) {
      return exitCode == VIOLATED && output.contains("Invariant " + invariant + " is violated");
    }
  }

  private ModelChecker() {}

  /**
   * Checks a specification.
   *
   * @param name name of the module
   * @param run name of the run, which names its folder under target
   * @param constants values of the constants
   * @param invariants invariants to check
   */
  static Result check(
      String name, String run, Map<String, String> constants, List<String> invariants)
      throws IOException, InterruptedException {
    Path folder = Path.of("target", "tlc", name + "-" + run);
    Files.createDirectories(folder);
    Files.writeString(
        folder.resolve(name + ".tla"), Files.readString(SPECIFICATIONS.resolve(name + ".tla")));
    Files.writeString(folder.resolve(name + ".cfg"), configuration(constants, invariants));
    File output = folder.resolve("output.txt").toFile();
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx2g",
                "-XX:+UseParallelGC",
                // TLC unpacks its modules there; runs at the same time must not share them.
                "-Djava.io.tmpdir=" + folder.toAbsolutePath(),
                "-cp",
                System.getProperty("java.class.path"),
                "tlc2.TLC",
                "-workers",
                "4",
                "-metadir",
                "states",
                name + ".tla")
            .directory(folder.toFile())
            .redirectErrorStream(true)
            .redirectOutput(output)
            .start();
    if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      throw new IllegalStateException(
          name + " was not checked within " + TIMEOUT_SECONDS + " s; see " + output);
    }
    return new Result(process.exitValue(), Files.readString(output.toPath()));
  }

  private static String configuration(Map<String, String> constants, List<String> invariants) {
    StringBuilder text = new StringBuilder("SPECIFICATION Spec\nCONSTANTS\n");
    new TreeMap<>(constants)
        .forEach(
            (key, value) -> text.append("  ").append(key).append(" = ").append(value).append('\n'));
    text.append("INVARIANTS\n");
    invariants.forEach(invariant -> text.append("  ").append(invariant).append('\n'));
    return text.append("CHECK_DEADLOCK FALSE\n").toString();
  }
}
