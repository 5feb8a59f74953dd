package org.oriolewell.ctl;

import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.logging.Level;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.LogOutput;
import org.oriolewell.runtime.program.Version;

/** The program without its process: reads the command line, runs statements, prints answers. */
final class Ctl {
  private static final String NAME = "oriolewellctl";
  private static final int HELP_WIDTH = 100;

  private static final String EXIT_CODES =
      """

      Exit codes: 0 done; 1 the entry failed or did not answer; 2 the command line or a statement is
      wrong; 3 a file can't be read or the token was refused; 4 rejected, nothing was changed;
      5 the outcome is unknown, the message says how to settle it; 6 the answer is partial or a
      version is not in force everywhere.
      """;

  private final InstantSource clock;
  private final PrintStream out;
  private final PrintStream err;

  Ctl(InstantSource clock, PrintStream out, PrintStream err) {
    this.clock = clock;
    this.out = out;
    this.err = err;
  }

  /** Runs the program and returns its exit code. */
  int run(String... args) {
    CtlOptions options = new CtlOptions();
    CmdLineParser parser =
        new CmdLineParser(
            options,
            ParserProperties.defaults()
                .withUsageWidth(HELP_WIDTH)
                .withOptionSorter(null)
                .withShowDefaults(false));
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println(NAME + ": " + e.getMessage() + "; see " + NAME + " --help.");
      return CtlExitCode.USAGE;
    }
    if (options.help) {
      out.println("Usage: " + NAME + " [options] STATEMENT");
      out.println("       " + NAME + " [options] --script FILE");
      out.println();
      parser.printUsage(out);
      out.print(EXIT_CODES);
      return CtlExitCode.OK;
    }
    if (options.version) {
      out.println(NAME + " " + Version.current());
      return CtlExitCode.OK;
    }
    try {
      runStatements(options);
      return CtlExitCode.OK;
    } catch (CtlException e) {
      err.println(e.getMessage());
      return e.exitCode();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return CtlExitCode.FAILED;
    }
  }

  private void runStatements(CtlOptions options) throws CtlException, InterruptedException {
    List<String> statements = statements(options);
    LogOutput.install(options.debug ? Level.FINE : Level.WARNING);
    EventLog log = EventLog.of(NAME, clock);
    Duration timeout = Duration.ofSeconds(options.timeoutSeconds);
    try (AdminClient client =
        AdminClient.start(entry(options.entry), token(options.tokenFile), timeout, log)) {
      Session session = new Session(client, options, out, clock, log);
      for (String statement : statements) {
        session.run(statement);
      }
    }
  }

  private static URI entry(String text) throws CtlException {
    try {
      URI uri = URI.create(text);
      if (uri.getHost() != null && uri.getScheme() != null) {
        return uri;
      }
    } catch (IllegalArgumentException e) {
      throw wrongEntry(text);
    }
    throw wrongEntry(text);
  }

  private static CtlException wrongEntry(String text) {
    return new CtlException(
        CtlExitCode.USAGE,
        "--entry " + text + " isn't a URL; write one such as http://127.0.0.1:8081.");
  }

  private static List<String> statements(CtlOptions options) throws CtlException {
    File script = options.script;
    if ((script == null) == options.statement.isEmpty()) {
      throw new CtlException(
          CtlExitCode.USAGE, "Give either a statement or --script FILE; see --help.");
    }
    return script == null
        ? List.of(String.join(" ", options.statement))
        : read(script)
            .lines()
            .map(String::strip)
            .filter(line -> !line.isEmpty() && !line.startsWith("#"))
            .toList();
  }

  private static String token(@Nullable File file) throws CtlException {
    if (file == null) {
      throw new CtlException(
          CtlExitCode.SETTINGS, "Name the file with your token by --token-file FILE.");
    }
    return read(file).strip();
  }

  private static String read(File file) throws CtlException {
    try {
      return Files.readString(file.toPath());
    } catch (IOException e) {
      throw new CtlException(CtlExitCode.SETTINGS, file + " can't be read (" + e + ").");
    }
  }
}
